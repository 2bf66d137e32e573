// Command standin holds the stand-ins of the review's scripts: a replica as a process of its own, and for each
// case the platform, the clients and the check.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin replica|CASE ...")
		os.Exit(cannotRun)
	}
	if os.Args[1] == "replica" {
		runReplica(os.Args[2:])
		return
	}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(cannotRun)
	}
	os.Exit(runCase(run))
}
