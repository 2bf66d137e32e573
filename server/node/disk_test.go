package node_test

import (
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	. "github.com/onsi/gomega"

	"cowsliptiller/server/node"
	"cowsliptiller/server/store/disktest"
)

// diskFault is what a faultyDisk does with changes.
type diskFault int

const (
	healthy      diskFault = iota
	refusesAll             // every change fails
	refusesSyncs           // writes succeed, syncs fail
	hangs                  // writes and syncs do not return until the fault changes
	slow                   // writes and syncs take slowWrite
	faultKinds
)

const slowWrite = 5 * testTick

// faultyDisk is a member's disk: in memory, with a fault that can change.
type faultyDisk struct {
	mem *vfs.MemFS

	mu      sync.Mutex // guards what follows
	fault   diskFault
	changed chan struct{} // closed at a change of fault
	refused int           // changes refused so far
}

func newFaultyDisk() *faultyDisk {
	return &faultyDisk{mem: vfs.NewCrashableMem(), changed: make(chan struct{})}
}

func (d *faultyDisk) String() string { return "faulty disk" }

func (d *faultyDisk) set(f diskFault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *faultyDisk) get() (diskFault, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault, d.changed
}

// MaybeError implements errorfs.Injector.
func (d *faultyDisk) MaybeError(op errorfs.Op) error {
	write, sync := changes(op)
	if !write && !sync {
		return nil
	}
	f, changed := d.get()
	switch f {
	case hangs:
		<-changed
		return d.MaybeError(op)
	case slow:
		select {
		case <-time.After(slowWrite):
		case <-changed:
		}
	case refusesAll:
		return d.refuse()
	case refusesSyncs:
		if sync {
			return d.refuse()
		}
	}
	return nil
}

func (d *faultyDisk) refuse() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refused++
	return disktest.ErrFull
}

func changes(op errorfs.Op) (write, sync bool) {
	switch op.Kind {
	case errorfs.OpCreate, errorfs.OpLink, errorfs.OpRename, errorfs.OpReuseForWrite, errorfs.OpMkdirAll,
		errorfs.OpFileWrite, errorfs.OpFileWriteAt:
		return true, false
	case errorfs.OpFileSync, errorfs.OpFileSyncData, errorfs.OpFileSyncTo:
		return false, true
	}
	return false, false
}

func (d *faultyDisk) fs() vfs.FS { return disktest.Wrap(d.mem, d) }

// diskGroup is a group whose members have faulty disks and are opened again when they fail.
type diskGroup struct {
	*group
	disks  []*faultyDisk
	change func(*node.Config) // nil: no change of the members' configuration
}

func newDiskGroup(count int, change func(*node.Config)) *diskGroup {
	g := &diskGroup{group: &group{}, change: change}
	for i := 1; i <= count; i++ {
		g.add(newHost(uint64(i)))
	}
	for i, h := range g.hosts {
		g.first = append(g.first, h.member)
		h.folder = filepath.Join("/", "data") // of its own disk
		g.disks[i] = newFaultyDisk()
	}
	for i := range g.hosts {
		Expect(g.open(i)).To(Succeed())
	}
	return g
}

func (g *diskGroup) add(h *host) {
	g.hosts = append(g.hosts, h)
	g.disks = append(g.disks, newFaultyDisk())
}

// close ends the members; no disk hangs then.
func (g *diskGroup) close() {
	for _, d := range g.disks {
		d.set(healthy)
	}
	g.group.close()
}

// open opens member i with an empty state machine.
func (g *diskGroup) open(i int) error {
	h := g.hosts[i]
	h.machine = &register{}
	c := h.config(g.first)
	c.FS = g.disks[i].fs()
	if i >= len(g.first) {
		c.Join, c.Members = true, nil
	}
	if g.change != nil {
		g.change(&c)
	}
	return h.tryStart(c)
}

// reopenFailed closes the members that have failed and tries to open those that are closed.
func (g *diskGroup) reopenFailed() {
	for i, h := range g.hosts {
		select {
		case <-h.fatal:
			h.stop()
		default:
		}
		if h.node == nil {
			_ = g.open(i) // refused while the disk is full
		}
	}
}

func (g *diskGroup) diskOf(h *host) *faultyDisk {
	for i, other := range g.hosts {
		if other == h {
			return g.disks[i]
		}
	}
	return nil
}

// losePower replaces each member's disk by what was synced, and opens all members again. No
// message passes between a member before and one after the loss.
func (g *diskGroup) losePower() {
	for _, h := range g.hosts {
		h.setCut(true)
	}
	clones := make([]*vfs.MemFS, len(g.disks))
	for i, d := range g.disks {
		clones[i] = d.mem.CrashClone(vfs.CrashCloneCfg{})
		d.set(healthy)
	}
	for i, h := range g.hosts {
		h.stop()
		g.disks[i].mem = clones[i]
	}
	for i, h := range g.hosts {
		h.setCut(false)
		Expect(g.open(i)).To(Succeed())
	}
}

// refusedChanges returns how many changes the disk has refused.
func (d *faultyDisk) refusedChanges() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}
