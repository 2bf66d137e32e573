// Package store persists a control member's log, vote, snapshot and identity in its
// data folder. A write is acknowledged only after it is synced. A failed sync is
// final: what reached the disk is unknown, and a second sync may report success
// for pages that the first one lost. The caller must then close the Store, which cuts its
// database off from the disk; another Store may open the folder in the same process.
//
// All records are in one pebble database, so that a write of several records is
// atomic and the identity cannot be separated from the log that it belongs to.
// Pebble reads and writes through file calls and does not memory-map its files.
// A Store must be used by one goroutine, except for Failed, Err and Close.
package store
