// Command cowslipd runs the roles entry, agent and control.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"cowsliptiller/server/daemon"
	"cowsliptiller/server/settings"
)

// The exit codes. A control member that must not go on exits with 3.
const (
	exitDone     = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	stop, abort := signals()
	if len(args) > 0 && args[0] == "dev" {
		return report(daemon.Dev(args[1:], os.Stdout, stop, abort))
	}
	if len(args) > 0 && args[0] == "platform" {
		return onPlatform(args[1:], stop, abort)
	}
	if len(args) > 0 && args[0] == "run" {
		args = args[1:]
	}
	o, err := settings.Parse(args, os.Stdout)
	if err != nil {
		return reportSettings(err)
	}
	if o.Common.CheckSettings {
		fmt.Println("settings are good")
		return exitDone
	}
	return report(daemon.Run(o, stop, abort))
}

func onPlatform(args []string, stop, abort <-chan struct{}) int {
	o, err := settings.ParsePlatform(args, os.Stdout)
	if err != nil {
		return reportSettings(err)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	return report(daemon.RunPlatform(o, os.Stdout, stop, abort, reload))
}

// reportSettings says what is wrong with the settings, if help was not what was asked for.
func reportSettings(err error) int {
	if errors.Is(err, settings.ErrHelp) {
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "cowslipd:", err)
	return exitSettings
}

func report(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, "cowslipd:", err)
		return exitFailed
	}
	return exitDone
}

// signals closes stop at the first SIGTERM or SIGINT and abort at the second.
func signals() (stop, abort <-chan struct{}) {
	first, second := make(chan struct{}), make(chan struct{})
	received := make(chan os.Signal, 2)
	signal.Notify(received, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-received
		close(first)
		<-received
		close(second)
	}()
	return first, second
}
