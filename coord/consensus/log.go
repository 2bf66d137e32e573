package consensus

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// raftLog holds the entries after the last compaction. Entries are never changed
// once they are in it: they are shared with messages and writes.
type raftLog struct {
	// base is the position before entries[0].
	baseIndex, baseTerm uint64
	entries             []*coordpb.Entry
	snapshot            *coordpb.Snapshot // newest one; its index is >= baseIndex
	stable              uint64            // entries up to here are synced
	commit              uint64
	handed              uint64 // entries up to here went out through Committed
	// memberships in log order: the snapshot's, then one for each entry. A
	// membership counts from when it is appended, not committed (thesis 4.1).
	memberships []membershipAt
}

type membershipAt struct {
	index   uint64
	members []*coordpb.Member
}

func newLog(d Durable) (*raftLog, error) {
	meta := d.Snapshot.GetMeta()
	if meta == nil {
		return nil, fault.New(fault.Internal, "consensus: no snapshot in the durable state")
	}
	l := &raftLog{baseIndex: meta.Index, baseTerm: meta.Term, snapshot: d.Snapshot}
	entries := d.Entries
	if len(entries) > 0 && entries[0].Index <= meta.Index {
		// The first kept entry becomes the base: its own predecessor's term is gone.
		l.baseIndex, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	for i, e := range entries {
		if e.Index != l.baseIndex+1+uint64(i) {
			return nil, fault.New(fault.Internal, "consensus: log entry %d found where %d belongs", e.Index, l.baseIndex+1+uint64(i))
		}
	}
	l.entries = append([]*coordpb.Entry(nil), entries...)
	if l.last() < meta.Index {
		return nil, fault.New(fault.Internal, "consensus: log ends at %d, before its snapshot at %d", l.last(), meta.Index)
	}
	l.stable = l.last()
	l.handed = meta.Index
	l.commit = max(meta.Index, d.HardState.GetCommit())
	if l.commit > l.last() {
		return nil, fault.New(fault.Internal, "consensus: log ends at %d, before the commit index %d: synced entries are missing", l.last(), l.commit)
	}
	return l, l.readMemberships()
}

func (l *raftLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index; false when it is not held.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *raftLog) at(index uint64) *coordpb.Entry { return l.entries[index-l.baseIndex-1] }

// slice returns the entries in (after, through]. The caller must not append to it.
func (l *raftLog) slice(after, through uint64) []*coordpb.Entry {
	from, to := after-l.baseIndex, through-l.baseIndex
	return l.entries[from:to:to]
}

// sized returns entries after an index up to a number of bytes, at least one, and their
// bytes on the wire.
func (l *raftLog) sized(after uint64, maxBytes int) (entries []*coordpb.Entry, bytes int) {
	through := after
	for i := after + 1; i <= l.last(); i++ {
		next := proto.Size(l.at(i))
		if bytes+next > maxBytes && through > after {
			break
		}
		bytes, through = bytes+next, i
	}
	return l.slice(after, through), bytes
}

func (l *raftLog) append(entries ...*coordpb.Entry) error {
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Kind != coordpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		if err := l.addMembership(e); err != nil {
			return err
		}
	}
	return nil
}

// truncate drops the entries from index on. Entries that are committed never
// conflict with a leader's log (paper 5.4.3): if they seem to, going on would
// lose what callers were told is done.
func (l *raftLog) truncate(from uint64) error {
	if from <= l.commit {
		return fault.New(fault.Internal, "consensus: refusing to drop committed entry %d (commit %d)", from, l.commit)
	}
	// A new slice: the old one's tail may be on its way to disk or to a member.
	l.entries = append([]*coordpb.Entry(nil), l.entries[:from-l.baseIndex-1]...)
	l.stable = min(l.stable, from-1)
	n := len(l.memberships)
	for n > 1 && l.memberships[n-1].index >= from {
		n--
	}
	l.memberships = l.memberships[:n]
	return nil
}

func (l *raftLog) addMembership(e *coordpb.Entry) error {
	var m coordpb.Membership
	if err := proto.Unmarshal(e.Data, &m); err != nil {
		return fault.New(fault.Internal, "consensus: membership entry %d: %v", e.Index, err)
	}
	l.memberships = append(l.memberships, membershipAt{index: e.Index, members: m.Members})
	return nil
}

func (l *raftLog) readMemberships() error {
	meta := l.snapshot.Meta
	l.memberships = []membershipAt{{index: meta.Index, members: meta.Membership.GetMembers()}}
	for _, e := range l.entries {
		if e.Index <= meta.Index || e.Kind != coordpb.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		if err := l.addMembership(e); err != nil {
			return err
		}
	}
	return nil
}

// membership returns the newest membership in the log and its index.
func (l *raftLog) membership() membershipAt { return l.memberships[len(l.memberships)-1] }

// membershipBy returns the membership that counts at a committed index.
func (l *raftLog) membershipBy(index uint64) []*coordpb.Member {
	members := l.memberships[0].members
	for _, m := range l.memberships {
		if m.index <= index {
			members = m.members
		}
	}
	return members
}

// reset replaces the whole log by a snapshot.
func (l *raftLog) reset(s *coordpb.Snapshot) {
	l.baseIndex, l.baseTerm = s.Meta.Index, s.Meta.Term
	l.entries = nil
	l.snapshot = s
	l.stable = s.Meta.Index
	l.commit = s.Meta.Index
	l.memberships = []membershipAt{{index: s.Meta.Index, members: s.Meta.Membership.GetMembers()}}
}

// compact keeps the entries after an index that is at most the snapshot's.
func (l *raftLog) compact(s *coordpb.Snapshot, keepAfter uint64) {
	keepAfter = max(min(keepAfter, s.Meta.Index), l.baseIndex)
	term, _ := l.term(keepAfter)
	l.entries = append([]*coordpb.Entry(nil), l.entries[keepAfter-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = keepAfter, term
	l.snapshot = s
	kept := []membershipAt{{index: s.Meta.Index, members: s.Meta.Membership.GetMembers()}}
	for _, m := range l.memberships {
		if m.index > s.Meta.Index {
			kept = append(kept, m)
		}
	}
	l.memberships = kept
}

// upToDate is the election restriction of paper 5.4.1.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}

// agreeBefore returns where a follower's log may agree with a leader that was
// refused at index: before the whole conflicting term (paper 5.3, end).
func (l *raftLog) agreeBefore(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	term, ok := l.term(index)
	if !ok {
		return l.commit
	}
	for index > l.commit {
		t, held := l.term(index)
		if !held || t != term {
			break
		}
		index--
	}
	return index
}
