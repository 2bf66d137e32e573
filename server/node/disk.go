package node

import (
	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/store"
)

// runDisk owns the store. Jobs run one after another, each to its sync.
func (n *Node) runDisk() {
	defer n.running.Done()
	for {
		select {
		case <-n.stop:
			return
		case w := <-n.writes:
			if err := n.save(w); err != nil {
				n.fatal(err)
				return
			}
			select {
			case n.written <- w:
			case <-n.stop:
				return
			}
		case job := <-n.identities:
			err := n.store.SaveIdentity(job.id)
			job.done <- err
			if err != nil {
				n.fatal(err)
				return
			}
		}
	}
}

func (n *Node) save(w *consensus.Write) error {
	start := n.config.Now()
	err := n.store.Save(w)
	if took := n.config.Now() - start; took > n.config.electionTimeout() {
		n.config.Logger.Warn("the disk is slow", "sync-took", took, "entries", len(w.Entries))
	}
	return err
}

type identityJob struct {
	id   store.Identity
	done chan error // buffered
}

// saveIdentity returns once the identity is synced.
func (n *Node) saveIdentity(id store.Identity) error {
	job := identityJob{id: id, done: make(chan error, 1)}
	select {
	case n.identities <- job:
	case <-n.stop:
		return fault.New(fault.Unavailable, "the member is stopping")
	}
	select {
	case err := <-job.done:
		return err
	case <-n.stop:
		return fault.New(fault.Unavailable, "the member is stopping")
	}
}

// load reads the folder, or makes its first records.
func (n *Node) load() (store.Identity, consensus.PersistentState, error) {
	id, found, err := n.store.Identity()
	if err != nil {
		return id, consensus.PersistentState{}, err
	}
	if !found {
		return n.create()
	}
	if id.Member != n.config.ID {
		return id, consensus.PersistentState{}, fault.New(fault.InvalidRequest, "data folder %s belongs to member %d, the settings say %d", n.config.Folder, id.Member, n.config.ID)
	}
	d, err := n.store.Load()
	return id, d, err
}
