package node

import (
	"context"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/fault"
)

// barrier is a read that waits for a quorum's word, then for its index.
type barrier struct {
	reply chan error // buffered
}

type unappliedRead struct {
	index uint64
	b     *barrier
}

// Barrier implements Log.
func (n *Node) Barrier(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, n.config.CommitTimeout)
	defer cancel()
	b := &barrier{reply: make(chan error, 1)}
	if err := n.do(ctx, func() error { return n.startRead(b) }); err != nil {
		return err
	}
	select {
	case err := <-b.reply:
		return err
	case <-ctx.Done():
		return fault.New(fault.NoQuorum, "no quorum answered in time")
	case <-n.stop:
		return errStopping()
	}
}

func (n *Node) startRead(b *barrier) error {
	n.nextRead++
	if err := n.raft.ReadIndex(n.config.Now(), n.nextRead); err != nil {
		return err
	}
	n.reads[n.nextRead] = b
	n.readsTerm = n.raft.Status().Term
	return nil
}

func (n *Node) takeReads() {
	for _, r := range n.raft.Reads() {
		b := n.reads[r.ID]
		if b == nil {
			continue
		}
		delete(n.reads, r.ID)
		n.unapplied = append(n.unapplied, unappliedRead{index: r.Index, b: b})
	}
	n.releaseReads()
}

func (n *Node) releaseReads() {
	waiting := n.unapplied[:0]
	for _, u := range n.unapplied {
		if u.index > n.done {
			waiting = append(waiting, u)
			continue
		}
		u.b.reply <- nil
	}
	n.unapplied = waiting
}

// dropReads fails the reads whose leader is no longer this member.
func (n *Node) dropReads(s consensus.Status) {
	if len(n.reads) == 0 || (s.Role == consensus.Leader && s.Term == n.readsTerm) {
		return
	}
	n.failReads(fault.New(fault.NotLeader, "this member stopped leading during the read"))
}

func (n *Node) failReads(err error) {
	for id, b := range n.reads {
		b.reply <- err
		delete(n.reads, id)
	}
}
