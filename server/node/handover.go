package node

import (
	"context"

	"cowsliptiller/coord/consensus"
)

// handoverTimeouts bounds a planned stop's wait for another leader, in election timeouts.
const handoverTimeouts = 2

// handOver gives leadership to the best successor and waits until another leads,
// so that a planned stop costs callers no election timeout.
func (n *Node) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeouts*n.config.electionTimeout())
	defer cancel()
	started := false
	_ = n.do(ctx, func() error {
		if n.raft.Status().Role != consensus.Leader {
			return nil
		}
		to := n.raft.BestSuccessor()
		if to == 0 {
			return nil
		}
		started = true
		return n.raft.Transfer(n.config.Now(), to)
	})
	for started {
		changed := n.LeaderChanged()
		s := n.Status()
		if s.Leader != 0 && s.Leader != s.ID {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-n.stop:
			return
		}
	}
}
