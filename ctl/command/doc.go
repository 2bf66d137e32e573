// Package command holds the commands of cowslipctl, each in a struct that
// go-flags fills. Exit codes: 0 done, 1 refused or failed, 2 wrong usage,
// 3 conflict with another operator's change, 4 no control host reached.
package command
