package node

import (
	"github.com/google/uuid"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/store"
)

// create makes the first records of an empty folder. It is not known yet whether
// the folder is new or its disk was lost: only a joining member, whose id is new,
// and a group of one may go on without asking the others (see forming.go).
func (n *Node) create() (store.Identity, consensus.PersistentState, error) {
	id := store.Identity{Member: n.config.ID, DiskID: uuid.NewString(), KnownDisks: map[uint64]string{}}
	var d consensus.PersistentState
	switch {
	case n.config.Join:
		id.Formed = true
		d = consensus.Bootstrap(nil)
	case len(n.config.Restore) > 0:
		d = restored(n.config.Members, n.config.Restore)
	default:
		d = consensus.Bootstrap(n.config.Members)
	}
	if !n.config.Join {
		id.Group = groupID(n.config.Members, n.config.Restore)
		id.Formed = len(n.config.Members) == 1
	}
	if err := n.store.Create(id, d); err != nil {
		return id, d, err
	}
	n.config.Logger.Info("made a new data folder", "folder", n.config.Folder, "member", id.Member, "group", id.Group, "disk", id.DiskID)
	return id, d, nil
}

// restored is the start of a new group from a backup: a snapshot that every
// first member holds from the beginning.
func restored(members []*coordpb.Member, data []byte) consensus.PersistentState {
	const index, term = 1, 1
	meta := &coordpb.SnapshotMeta{Index: index, Term: term, Membership: &coordpb.Membership{Members: members}}
	return consensus.PersistentState{
		HardState: &coordpb.HardState{Term: term, Commit: index},
		Snapshot:  &coordpb.Snapshot{Meta: meta, Data: data},
	}
}
