// Package store keeps a control member's log, vote, snapshot and identity in its
// data folder. Nothing is acknowledged before it is synced, and a failed sync is
// the end: what reached the disk is then not known, and a second sync may report
// success for pages that the first one lost. The caller stops the process.
//
// Everything lies in one pebble database, so that a write of several records is
// one atomic step, and the identity cannot be parted from the log it vouches
// for. Pebble reads and writes through file calls and maps no file. A Store is
// used by one goroutine, but for Failed, Err and Close.
package store
