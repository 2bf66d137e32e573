// Package fair implements the order of waiting work: by class, then by the tokens served
// to each workspace, then by time. Entry hosts and agents use the same order.
//
// A Queue is not safe for concurrent use; its owner does the locking.
package fair
