package node

import (
	"context"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// proposal is a command, or a change of membership, that waits for its entry.
type proposal struct {
	data  []byte
	term  uint64
	reply chan outcome // buffered
}

type outcome struct {
	result *coordpb.Result
	err    error
}

// Propose implements Log.
func (n *Node) Propose(ctx context.Context, c *coordpb.Command) (*coordpb.Result, error) {
	data, err := encode(c)
	if err != nil {
		return nil, err
	}
	p := &proposal{data: data, reply: make(chan outcome, 1)}
	ctx, cancel := context.WithTimeout(ctx, n.config.CommitTimeout)
	defer cancel()
	select {
	case n.proposals <- p:
	case <-ctx.Done():
		return nil, errNotCommitted()
	case <-n.stop:
		return nil, errStopping()
	}
	return n.await(ctx, p)
}

func (n *Node) await(ctx context.Context, p *proposal) (*coordpb.Result, error) {
	select {
	case o := <-p.reply:
		return o.result, o.err
	case <-ctx.Done():
		return nil, errNotCommitted()
	case <-n.stop:
		return nil, errNotCommitted()
	}
}

func errNotCommitted() error {
	return fault.New(fault.NoQuorum, "not committed in time; it may still be committed later")
}

// propose appends a command together with those that wait behind it, so that
// they share a message and a sync.
func (n *Node) propose(first *proposal) {
	batch := []*proposal{first}
	for len(batch) < maxBatch {
		select {
		case p := <-n.proposals:
			batch = append(batch, p)
			continue
		default:
		}
		break
	}
	if len(n.waiters)+len(batch) > maxPending {
		refuse(batch, fault.New(fault.Overloaded, "%d commands wait for a commit", len(n.waiters)))
		return
	}
	commands := make([][]byte, len(batch))
	for i, p := range batch {
		commands[i] = p.data
	}
	index, term, err := n.raft.Propose(n.config.Now(), commands)
	if err != nil {
		refuse(batch, err)
		return
	}
	for i, p := range batch {
		n.wait(index+uint64(i), term, p)
	}
}

func (n *Node) wait(index, term uint64, p *proposal) {
	if old := n.waiters[index]; old != nil {
		// Only a new entry at the same index gets here: the old one was replaced.
		old.reply <- outcome{err: errReplaced()}
	}
	p.term = term
	n.waiters[index] = p
}

func errReplaced() error {
	return fault.New(fault.NotLeader, "another leader took over and the command was not committed")
}

func refuse(batch []*proposal, err error) {
	for _, p := range batch {
		p.reply <- outcome{err: err}
	}
}

// AddMember implements Log.
func (n *Node) AddMember(ctx context.Context, m *coordpb.Member) error {
	return n.changeMembers(ctx, func() (uint64, uint64, error) { return n.raft.AddLearner(n.config.Now(), m) })
}

// RemoveMember implements Log.
func (n *Node) RemoveMember(ctx context.Context, id uint64) error {
	return n.changeMembers(ctx, func() (uint64, uint64, error) { return n.raft.Remove(n.config.Now(), id) })
}

func (n *Node) changeMembers(ctx context.Context, change func() (index, term uint64, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, n.config.CommitTimeout)
	defer cancel()
	p := &proposal{reply: make(chan outcome, 1)}
	err := n.do(ctx, func() error {
		index, term, err := change()
		if err != nil {
			return err
		}
		n.wait(index, term, p)
		return nil
	})
	if err != nil {
		return err
	}
	_, err = n.await(ctx, p)
	return err
}

// failAll answers whoever still waits when the loop ends.
func (n *Node) failAll() {
	for index, p := range n.waiters {
		p.reply <- outcome{err: errNotCommitted()}
		delete(n.waiters, index)
	}
	n.failReads(errStopping())
}
