package state

import "cowsliptiller/coord/coordpb"

// Table names used in tombstones.
const (
	TableKey     = "key"
	TableHost    = "host"
	TableReplica = "replica"
	TableStrikes = "strikes"
	TableParts   = "parts"
)

// tombstones records deleted rows for followers with an older view. A follower whose
// revision is below the floor may have missed a dropped tombstone and receives a full
// view.
type tombstones struct {
	rows  []*coordpb.Tombstone // by revision, oldest first
	floor uint64               // tombstones up to this revision may have been dropped
}

func (t *tombstones) add(table, id string, revision uint64) {
	t.rows = append(t.rows, &coordpb.Tombstone{Table: table, Id: id, Revision: revision})
	for len(t.rows) > MaxTombstones {
		t.floor = t.rows[0].Revision
		t.rows = t.rows[1:]
	}
}
