package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/fault"
)

// step is what one command brings to an aggregate.
type step struct {
	now      int64 // Unix milliseconds, the command's time, never going back
	actor    string
	revision uint64 // that a change of the followed view gets
}

// sorted returns the ids of a table in order. Iteration over a table always goes
// through it: the order of a Go map differs between members and would make their
// states differ.
func sorted[R any](rows map[string]R) []string {
	return slices.Sorted(maps.Keys(rows))
}

// edit returns a copy of a row to change: rows handed out earlier stay as they were.
func edit[M proto.Message](row M) M {
	return proto.Clone(row).(M)
}

// checkName refuses names from outside that are empty or too long.
func checkName(what, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fault.New(fault.InvalidRequest, "%s has %d bytes, 1 to %d are allowed", what, len(name), MaxNameBytes)
	}
	return nil
}
