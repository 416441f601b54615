package fleet

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed makes the random tests the same in every run.
const rapidSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println("rapid.seed", rapidSeed)
	os.Exit(m.Run())
}
