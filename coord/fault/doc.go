// Package fault defines the closed set of error kinds and the table that maps
// each kind to its answer: the HTTP status, the twirp code, whether the request
// ran, and whether a retry can succeed.
//
// No other package defines a kind or a status. A new kind must be added to both
// the list and the table; the test of this package fails while they differ.
package fault
