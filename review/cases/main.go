// Command cases plays the scripted cases of this review against real processes of the project, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Results of a case, as exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// plays are the cases by name.
var plays = map[string]func(f *fleet, trouble bool) error{"retired-model": retiredModel, "lifted-limit": liftedLimit, "torn-entry": tornEntry}

func main() { os.Exit(run()) }

// run plays a case: NAME ROOT FOLDER.
func run() int {
	if len(os.Args) != 4 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME ROOT FOLDER")
		return couldNot
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	r, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	f, err := newFleet(root, r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer f.close()
	err = plays[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	switch {
	case r.broken():
		fmt.Printf("the rule was broken: %s\n", r.broke[0])
		return broken
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return couldNot
	}
	fmt.Println("the rule held")
	return held
}
