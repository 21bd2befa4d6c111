// Command standin plays the cases of the review: it starts controllers as separate processes and
// stands in for proxies, collectors, backends and discovery.
//
// Usage: standin CASE ROOT RECORD. The exit code is 1 if the rule of the case was broken, 0 if it
// held, and 2 if the case could not run. With TROUBLE=0 in the environment, the case runs without
// its disruption.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	cases := map[string]func(*run) verdict{
		"zone":     caseZone,
		"budget":   caseBudget,
		"snapshot": caseSnapshot,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}
