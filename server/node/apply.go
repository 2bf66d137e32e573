package node

import (
	"context"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// appliedBatch is what apply did with one consensus.Apply.
type appliedBatch struct {
	entries  []*coordpb.Entry
	results  []*coordpb.Result // beside entries; nil for other than commands
	restored uint64            // index of a restored snapshot, or 0
	through  uint64
	snapshot []byte // taken at through, or nil
	err      error
}

type backup struct {
	data []byte
	err  error
}

// runApply owns the state machine.
func (n *Node) runApply() {
	defer n.running.Done()
	since := sinceSnapshot{index: n.compacted}
	for {
		select {
		case <-n.stop:
			return
		case reply := <-n.backups:
			data, err := n.config.Machine.Snapshot()
			reply <- backup{data, err}
		case a := <-n.applies:
			b := n.apply(a, &since)
			select {
			case n.applied <- b:
			case <-n.stop:
				return
			}
		}
	}
}

// sinceSnapshot is what was applied since the newest snapshot.
type sinceSnapshot struct {
	index uint64 // of that snapshot
	bytes int
}

func (n *Node) apply(a consensus.Apply, since *sinceSnapshot) appliedBatch {
	b := appliedBatch{entries: a.Entries}
	if a.Snapshot != nil {
		b.restored, b.through = a.Snapshot.Meta.Index, a.Snapshot.Meta.Index
		*since = sinceSnapshot{index: b.through}
		if b.err = n.restore(a.Snapshot); b.err != nil {
			return b
		}
	}
	b.results = make([]*coordpb.Result, len(a.Entries))
	for i, e := range a.Entries {
		if b.results[i], b.err = n.applyOne(e); b.err != nil {
			return b
		}
		b.through = e.Index
		since.bytes += len(e.Data)
	}
	if b.through-since.index >= n.config.SnapshotEvery || since.bytes >= n.config.SnapshotBytes {
		b.snapshot, b.err = n.config.Machine.Snapshot()
		*since = sinceSnapshot{index: b.through}
	}
	return b
}

func (n *Node) applyOne(e *coordpb.Entry) (*coordpb.Result, error) {
	if e.Kind != coordpb.EntryKind_ENTRY_KIND_COMMAND {
		return nil, nil
	}
	c, err := decode(e.Data)
	if err != nil {
		return nil, fault.New(fault.Internal, "entry %d cannot be read: %v", e.Index, err)
	}
	return n.config.Machine.Apply(c), nil
}

// finishApply answers the callers and takes the snapshot in.
func (n *Node) finishApply(b appliedBatch) error {
	n.applying = false
	if b.err != nil {
		return b.err
	}
	n.done = max(n.done, b.through)
	if b.restored != 0 {
		n.compacted = b.restored
		n.answerSkipped(b.restored)
	}
	for i, e := range b.entries {
		n.answer(e, b.results[i])
	}
	n.releaseReads()
	if b.snapshot == nil {
		return nil
	}
	// A follower that lags by less than a whole interval still gets entries.
	keepAfter := n.compacted
	n.compacted = b.through
	return n.raft.Compact(b.through, keepAfter, b.snapshot)
}

func (n *Node) answer(e *coordpb.Entry, result *coordpb.Result) {
	p := n.waiters[e.Index]
	if p == nil {
		return
	}
	delete(n.waiters, e.Index)
	if p.term != e.Term {
		p.reply <- outcome{err: errReplaced()}
		return
	}
	p.reply <- outcome{result: result}
}

// answerSkipped answers the callers whose entries a snapshot has swallowed:
// whether theirs were among them is not known.
func (n *Node) answerSkipped(through uint64) {
	for index, p := range n.waiters {
		if index <= through {
			p.reply <- outcome{err: errNotCommitted()}
			delete(n.waiters, index)
		}
	}
}

// Backup returns the state machine's snapshot, everything committed before the
// call included.
func (n *Node) Backup(ctx context.Context) ([]byte, error) {
	if err := n.Barrier(ctx); err != nil {
		return nil, err
	}
	reply := make(chan backup, 1)
	select {
	case n.backups <- reply:
	case <-ctx.Done():
		return nil, fault.From(ctx.Err())
	case <-n.stop:
		return nil, errStopping()
	}
	b := <-reply
	return b.data, b.err
}
