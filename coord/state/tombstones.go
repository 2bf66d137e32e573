package state

import "cowsliptiller/coord/coordpb"

// Tables that a tombstone can name.
const (
	TableKey     = "key"
	TableHost    = "host"
	TableReplica = "replica"
	TableStrikes = "strikes"
)

// tombstones tell a holder of an older view which rows are gone. A holder whose
// revision is below the floor may have missed a dropped one and gets a whole view.
type tombstones struct {
	rows  []*coordpb.Tombstone // by revision, oldest first
	floor uint64
}

func (t *tombstones) add(table, id string, revision uint64) {
	t.rows = append(t.rows, &coordpb.Tombstone{Table: table, Id: id, Revision: revision})
	for len(t.rows) > MaxTombstones {
		t.floor = t.rows[0].Revision
		t.rows = t.rows[1:]
	}
}
