package node

import (
	"maps"
	"sync"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/store"
)

// guard decides whom this member talks to. A host that lost its disk and is
// started again under its old id would vote twice in a term and deny what it
// acknowledged; callers would see a committed change vanish after the next loss
// of a host. The guard holds because each folder has a disk id of its own: the
// others keep the first one they met under a member's id, a vote that was given
// to a learner names its disk in the replicated membership, and a message from
// any other disk is refused.
type guard struct {
	save func(store.Identity) error // returns after the sync

	mu sync.Mutex // guards id
	id store.Identity
}

func (g *guard) identity() store.Identity {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.id
}

// admit checks the other end of a call and remembers it. Errors: fault.Fenced
// for another disk, after which the other end must stop; fault.Conflict for
// another group, which says nothing against either: a process that was set up
// anew at a member's address must not stop the members that call it.
func (g *guard) admit(from uint64, disk, group string, members []*coordpb.Member) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if group != "" && g.id.Group != "" && group != g.id.Group {
		return fault.New(fault.Conflict, "member %d is of group %s, this one of %s", from, group, g.id.Group)
	}
	if known := g.diskOf(from, members); known != "" && known != disk {
		return fault.New(fault.Fenced, "member id %d belongs to another disk: its data folder was lost or replaced; start it with a new id and join", from)
	}
	if g.id.KnownDisks[from] == disk && (g.id.Group != "" || group == "") {
		return nil
	}
	return g.remember(from, disk, group)
}

func (g *guard) diskOf(id uint64, members []*coordpb.Member) string {
	for _, m := range members {
		if m.Id == id && m.Disk != "" {
			return m.Disk
		}
	}
	return g.id.KnownDisks[id]
}

func (g *guard) remember(from uint64, disk, group string) error {
	next := g.id
	next.KnownDisks = maps.Clone(g.id.KnownDisks)
	if next.KnownDisks == nil {
		next.KnownDisks = map[uint64]string{}
	}
	next.KnownDisks[from] = disk
	if next.Group == "" {
		next.Group = group
	}
	if err := g.save(next); err != nil {
		return err
	}
	g.id = next
	return nil
}

// setFormed notes that every other first member accepted this disk.
func (g *guard) setFormed() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.id
	next.Formed = true
	if err := g.save(next); err != nil {
		return err
	}
	g.id = next
	return nil
}
