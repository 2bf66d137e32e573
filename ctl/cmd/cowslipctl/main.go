// Command cowslipctl is the operators' client, with the load and experiment
// tools and the stand-in target.
package main

import (
	"os"

	"cowsliptiller/ctl/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
