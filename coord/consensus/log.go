package consensus

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// raftLog holds the entries after the last compaction. Entries must not be modified
// once they are appended: they are shared with messages and writes.
type raftLog struct {
	// Index and term of the entry before entries[0].
	baseIndex, baseTerm uint64
	entries             []*coordpb.Entry
	snapshot            *coordpb.Snapshot // latest one; its index is >= baseIndex
	stable              uint64            // last index that is synced
	commit              uint64
	delivered           uint64 // last index returned by Committed
	// memberships in log order: the snapshot's, then one per membership entry. A
	// membership takes effect when it is appended, not when it is committed
	// (thesis 4.1).
	memberships []indexedMembership
}

type indexedMembership struct {
	index   uint64
	members []*coordpb.Member
}

func newLog(d PersistentState) (*raftLog, error) {
	meta := d.Snapshot.GetMeta()
	if meta == nil {
		return nil, fault.New(fault.Internal, "consensus: persisted state has no snapshot")
	}
	l := &raftLog{baseIndex: meta.Index, baseTerm: meta.Term, snapshot: d.Snapshot}
	entries := d.Entries
	if len(entries) > 0 && entries[0].Index <= meta.Index {
		// The first stored entry becomes the base, because the term of the entry before
		// it is not known.
		l.baseIndex, l.baseTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	for i, e := range entries {
		if e.Index != l.baseIndex+1+uint64(i) {
			return nil, fault.New(fault.Internal, "consensus: gap in the stored log: found entry %d, want %d", e.Index, l.baseIndex+1+uint64(i))
		}
	}
	l.entries = append([]*coordpb.Entry(nil), entries...)
	if l.last() < meta.Index {
		return nil, fault.New(fault.Internal, "consensus: log ends at index %d, before its snapshot at index %d", l.last(), meta.Index)
	}
	l.stable = l.last()
	l.delivered = meta.Index
	l.commit = max(meta.Index, d.HardState.GetCommit())
	if l.commit > l.last() {
		return nil, fault.New(fault.Internal, "consensus: log ends at index %d, before the commit index %d: synced entries are missing", l.last(), l.commit)
	}
	return l, l.readMemberships()
}

func (l *raftLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the log does not hold it.
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

// slice returns the entries in (after, through]. The result shares the log's memory:
// the caller must not modify it or append to it.
func (l *raftLog) slice(after, through uint64) []*coordpb.Entry {
	from, to := after-l.baseIndex, through-l.baseIndex
	return l.entries[from:to:to]
}

// entriesAfter returns entries after an index up to maxBytes, but at least one if there
// is any, and their encoded size in bytes.
func (l *raftLog) entriesAfter(after uint64, maxBytes int) (entries []*coordpb.Entry, bytes int) {
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

// truncate removes the entries from an index on. Committed entries never conflict
// with a leader's log (paper 5.4.3); if they seem to, truncating them would lose
// changes that were acknowledged to callers.
func (l *raftLog) truncate(from uint64) error {
	if from <= l.commit {
		return fault.New(fault.Internal, "consensus: refusing to truncate committed entry %d (commit index %d)", from, l.commit)
	}
	// Copies the entries: a pending write or message may still use the old array's tail.
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
		return fault.New(fault.Internal, "consensus: decoding membership entry %d: %v", e.Index, err)
	}
	l.memberships = append(l.memberships, indexedMembership{index: e.Index, members: m.Members})
	return nil
}

func (l *raftLog) readMemberships() error {
	meta := l.snapshot.Meta
	l.memberships = []indexedMembership{{index: meta.Index, members: meta.Membership.GetMembers()}}
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

// membership returns the latest membership in the log and its index.
func (l *raftLog) membership() indexedMembership { return l.memberships[len(l.memberships)-1] }

// membershipAt returns the membership in effect at a committed index.
func (l *raftLog) membershipAt(index uint64) []*coordpb.Member {
	members := l.memberships[0].members
	for _, m := range l.memberships {
		if m.index <= index {
			members = m.members
		}
	}
	return members
}

// reset replaces the whole log with a snapshot.
func (l *raftLog) reset(s *coordpb.Snapshot) {
	l.baseIndex, l.baseTerm = s.Meta.Index, s.Meta.Term
	l.entries = nil
	l.snapshot = s
	l.stable = s.Meta.Index
	l.commit = s.Meta.Index
	l.memberships = []indexedMembership{{index: s.Meta.Index, members: s.Meta.Membership.GetMembers()}}
}

// compact replaces the snapshot and removes the entries up to keepAfter, which is
// limited to the snapshot's index and the last synced entry: the next write starts after it.
func (l *raftLog) compact(s *coordpb.Snapshot, keepAfter uint64) {
	keepAfter = max(min(keepAfter, s.Meta.Index, l.stable), l.baseIndex)
	term, _ := l.term(keepAfter)
	l.entries = append([]*coordpb.Entry(nil), l.entries[keepAfter-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = keepAfter, term
	l.snapshot = s
	kept := []indexedMembership{{index: s.Meta.Index, members: s.Meta.Membership.GetMembers()}}
	for _, m := range l.memberships {
		if m.index > s.Meta.Index {
			kept = append(kept, m)
		}
	}
	l.memberships = kept
}

// isUpToDate implements the election restriction of paper 5.4.1: it reports whether a
// log that ends at index and term is at least as up to date as this one.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.last())
}

// rejectionHint returns the highest index at which a follower's log may match that of
// a leader whose append at index was rejected: it skips the whole conflicting term
// (paper 5.3, end).
func (l *raftLog) rejectionHint(index uint64) uint64 {
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
