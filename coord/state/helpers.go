package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/fault"
)

// commandContext holds the metadata of a command that aggregates need.
type commandContext struct {
	now      int64 // time of the command in Unix milliseconds; never decreases
	actor    string
	revision uint64 // assigned to the rows that the command changes
}

// sortedIDs returns the ids of a table in sorted order. Any iteration whose result
// depends on the order must use it: the order of a Go map differs between members,
// and their states would diverge.
func sortedIDs[R any](rows map[string]R) []string {
	return slices.Sorted(maps.Keys(rows))
}

// cloneRow returns a copy of a row that may be modified. Rows returned earlier must
// not be modified.
func cloneRow[M proto.Message](row M) M {
	return proto.Clone(row).(M)
}

// checkName rejects a name from outside the state that is empty or longer than
// MaxNameBytes.
func checkName(what, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return fault.New(fault.InvalidRequest, "%s has %d bytes, 1 to %d are allowed", what, len(name), MaxNameBytes)
	}
	return nil
}
