package fleet

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// rapidSeed is the seed of the property tests, so that every run is the same.
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
