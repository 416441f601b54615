// Command sim3 plays the scripted cases of the third review: stand-ins for the platform, its workers and its clients
// around processes of the program on loopback addresses. It exits with 1 if the rule of the case was broken, with 0 if
// it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scenario plays a case, without its disruption unless trouble is true. It returns what broke the rule, or "".
type scenario func(c *cell, trouble bool) (broken string, err error)

var scenarios = map[string]struct {
	instances int
	play      scenario
}{
	"copies":  {3, copies},
	"born":    {3, born},
	"address": {3, address},
	"label":   {3, label},
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: sim3 SCENARIO PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	s, known := scenarios[name]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return 2
	}
	program, err := filepath.Abs(program)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	out, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	c, err := newCell(out, program, s.instances)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer c.close()
	broken, err := s.play(c, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		c.record.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	case broken != "":
		c.record.note("broken: %s", broken)
		fmt.Println("broken:", broken)
		return 1
	}
	c.record.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
