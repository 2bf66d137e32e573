// Package fault holds the closed list of error kinds and the one table that
// says, for each kind, what a caller is told: the HTTP status, the twirp code,
// whether the request ran, and whether sending it again can help.
//
// No other package invents a kind or a status. A new kind is added to the list
// and to the table; the test of this package fails until both agree.
package fault
