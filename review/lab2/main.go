// Command lab2 plays the cases of the second review: it starts a small site on loopback addresses with
// the program under test, brings about one disruption and checks one rule.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is a case: it returns whether the rule held.
type play func(r *record, trouble bool) (held bool, err error)

var cases = map[string]play{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	held, err := p(r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.printf("the case could not run: %v", err)
		return exitFailed
	case !held:
		r.printf("RULE BROKEN")
		return exitBroken
	}
	r.printf("rule held")
	return exitHeld
}
