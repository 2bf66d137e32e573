package node

import (
	"time"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/store"
)

// diskWait bounds Close's wait for a job on a disk that does not answer.
const diskWait = 2 * time.Second

// runDisk owns the store. Jobs run one after another, each to its sync. It ends with the
// first job that fails, or the job during which the member stops.
func (n *Node) runDisk() {
	defer close(n.diskDone)
	for n.ctx.Err() == nil {
		select {
		case <-n.stop:
			return
		case w := <-n.writes:
			if err := n.save(w); err != nil {
				n.diskFailed(err)
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
				n.diskFailed(err)
				return
			}
		}
	}
}

// diskFailed stops the member, unless the store reports the failure to the loop.
func (n *Node) diskFailed(err error) {
	if n.store.Err() == nil {
		n.fatal(err)
	}
}

// awaitDisk waits until runDisk has ended, or is in a job that does not end.
func (n *Node) awaitDisk() {
	timer := time.NewTimer(diskWait)
	defer timer.Stop()
	select {
	case <-n.diskDone:
	case <-timer.C:
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
