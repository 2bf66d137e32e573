package store_test

import (
	"errors"
	"flag"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/store"
)

// TestMain sets rapid's seed to 1 unless one is given, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

const folder = "/data/member"

var identity = store.Identity{Member: 7, Group: "g", DiskID: "d", KnownDisks: map[uint64]string{1: "x"}}

func entries(from, through, term uint64) []*coordpb.Entry {
	var out []*coordpb.Entry
	for i := from; i <= through; i++ {
		out = append(out, &coordpb.Entry{Index: i, Term: term, Data: []byte(strings.Repeat("v", int(i%50)))})
	}
	return out
}

func openStore(fs vfs.FS) *store.Store {
	s, err := store.Open(folder, store.Options{FS: fs})
	Expect(err).NotTo(HaveOccurred())
	return s
}

func createStore(fs vfs.FS) *store.Store {
	s := openStore(fs)
	Expect(s.Create(identity, consensus.Bootstrap([]*coordpb.Member{{Id: 7}}))).To(Succeed())
	return s
}

func indexes(d consensus.PersistentState) []uint64 {
	var out []uint64
	for _, e := range d.Entries {
		out = append(out, e.Index)
	}
	return out
}

var _ = Describe("a data folder", func() {
	It("returns what was saved, including the identity", func() {
		fs := vfs.NewMem()
		s := createStore(fs)
		Expect(s.Save(&consensus.Write{HardState: &coordpb.HardState{Term: 3, Vote: 2, Commit: 1}, Entries: entries(1, 3, 3), Sync: true})).To(Succeed())
		Expect(s.Close()).To(Succeed())
		s = openStore(fs)
		id, found, err := s.Identity()
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(id).To(Equal(identity))
		d, err := s.Load()
		Expect(err).NotTo(HaveOccurred())
		Expect(d.HardState.Vote).To(BeEquivalentTo(2))
		Expect(indexes(d)).To(Equal([]uint64{1, 2, 3}))
	})

	It("is locked against a second process", func() {
		fs := vfs.NewMem()
		s := createStore(fs)
		_, err := store.Open(folder, store.Options{FS: fs})
		Expect(fault.Is(err, fault.Conflict)).To(BeTrue(), "%v", err)
		Expect(s.Close()).To(Succeed())
	})

	It("is created with mode 0700, and rejected if others have access", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		s, err := store.Open(dir, store.Options{})
		Expect(err).NotTo(HaveOccurred())
		info, err := os.Stat(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(info.Mode().Perm()).To(BeEquivalentTo(0o700))
		Expect(s.Close()).To(Succeed())
		Expect(os.Chmod(dir, 0o755)).To(Succeed())
		_, err = store.Open(dir, store.Options{})
		Expect(fault.Is(err, fault.InvalidRequest)).To(BeTrue(), "%v", err)
	})

	// On a file system that does not store modes, members rejected their own folders after
	// a restart, and the fleet permanently lost its control group.
	It("accepts an existing folder of any mode on a private disk", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		s, err := store.Open(dir, store.Options{PrivateDisk: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		Expect(os.Chmod(dir, 0o755)).To(Succeed())
		s, err = store.Open(dir, store.Options{PrivateDisk: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
	})

	// The hosts do not allow shared memory: a process that maps files is killed there
	// without a log message.
	It("memory-maps none of its files", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		s, err := store.Open(dir, store.Options{})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Create(identity, consensus.Bootstrap(nil))).To(Succeed())
		Expect(s.Save(&consensus.Write{Entries: entries(1, 2000, 1), Sync: true})).To(Succeed())
		_, err = s.Load()
		Expect(err).NotTo(HaveOccurred())
		maps, err := os.ReadFile("/proc/self/maps")
		Expect(err).NotTo(HaveOccurred())
		Expect(string(maps)).NotTo(ContainSubstring(dir))
		Expect(s.Close()).To(Succeed())
	})
})

var _ = Describe("a disk that fails", func() {
	// One sync fails, as on a full or failing disk, and the next succeeds. The kernel
	// has dropped the dirty pages by then: a store that retried the sync would
	// acknowledge a vote that is lost at a power failure.
	It("rejects writes after the first failed sync, even if later syncs would succeed", func() {
		failing := &errorfs.Toggle{Injector: errorfs.InjectorFunc(func(op errorfs.Op) error {
			switch op.Kind {
			case errorfs.OpFileSync, errorfs.OpFileSyncData, errorfs.OpFileSyncTo:
				return errors.New("no space left on device")
			}
			return nil
		})}
		mem := vfs.NewCrashableMem()
		s := createStore(errorfs.Wrap(mem, failing))
		failing.On()
		write := &consensus.Write{HardState: &coordpb.HardState{Term: 9, Vote: 1}, Sync: true}
		err := s.Save(write)
		Expect(err).To(MatchError(ContainSubstring("no space left on device")))
		Expect(err).To(MatchError(ContainSubstring("the process must stop")))
		Expect(s.Failed()).To(BeClosed())
		failing.Off()
		Expect(s.Save(write)).To(MatchError(ContainSubstring("the process must stop")))

		s = openStore(mem.CrashClone(vfs.CrashCloneCfg{}))
		d, err := s.Load()
		Expect(err).NotTo(HaveOccurred())
		Expect(d.HardState.Term).To(BeZero())
	})

	// A bit of a synced record flips in the write-ahead log, and the host restarts.
	// Treating that record as the end of the log would lose acknowledged entries.
	It("reports a corrupt record in the middle of the log", func() {
		fs := vfs.NewMem()
		s := createStore(fs)
		for i := uint64(1); i <= 40; i++ {
			Expect(s.Save(&consensus.Write{Entries: entries(i, i, 1), Sync: true})).To(Succeed())
		}
		// No Close: it would flush the log's records to tables.
		Expect(flipBit(fs, strings.Repeat("v", 20))).To(Equal(1))
		copied := vfs.NewMem()
		_, err := vfs.Clone(fs, copied, folder, folder, vfs.CloneSkip(func(name string) bool { return strings.HasSuffix(name, "LOCK") }))
		Expect(err).NotTo(HaveOccurred())
		for range 2 { // the failed open must not change the folder
			_, err = store.Open(folder, store.Options{FS: copied})
			Expect(err).To(MatchError(ContainSubstring("corrupt")))
			Expect(err).To(MatchError(ContainSubstring("cannot be read")))
		}
	})
})

// flipBit flips a bit of the first occurrence of text in each log file, and returns the
// number of files changed.
func flipBit(fs *vfs.MemFS, text string) int {
	changed := 0
	names, err := fs.List(folder)
	Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		if !strings.HasSuffix(name, ".log") {
			continue
		}
		data, err := fs.UnsafeGetFileDataBuffer(fs.PathJoin(folder, name))
		Expect(err).NotTo(HaveOccurred())
		if at := strings.Index(string(data), text); at >= 0 {
			data[at+1] ^= 0x10
			changed++
		}
	}
	return changed
}

// model is the expected contents of a folder.
type model struct {
	hs       *coordpb.HardState
	snapshot *coordpb.Snapshot
	entries  []*coordpb.Entry
}

func (m *model) save(w *consensus.Write) {
	if w.Reset {
		m.entries = nil
	}
	if len(w.Entries) > 0 {
		first := w.Entries[0].Index
		for len(m.entries) > 0 && m.entries[len(m.entries)-1].Index >= first {
			m.entries = m.entries[:len(m.entries)-1]
		}
		m.entries = append(m.entries[:len(m.entries):len(m.entries)], w.Entries...)
	}
	if w.Snapshot != nil {
		m.snapshot = w.Snapshot
		for len(m.entries) > 0 && m.entries[0].Index < w.FirstKeptIndex {
			m.entries = m.entries[1:]
		}
	}
	m.hs = w.HardState
}

// randomWrite generates a write that is valid in the model's state.
func (m *model) randomWrite(t *rapid.T) *consensus.Write {
	last := m.snapshot.Meta.Index
	if n := len(m.entries); n > 0 {
		last = max(last, m.entries[n-1].Index)
	}
	term := m.hs.Term + uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	w := &consensus.Write{HardState: &coordpb.HardState{Term: term}, Sync: true}
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0: // snapshot received from the leader
		index := last + uint64(rapid.IntRange(1, 30).Draw(t, "ahead"))
		w.Snapshot, w.Reset, w.FirstKeptIndex = snapshotAt(index), true, index
	case 1: // local snapshot
		if last > m.snapshot.Meta.Index {
			index := rapid.Uint64Range(m.snapshot.Meta.Index+1, last).Draw(t, "index")
			w.Snapshot, w.FirstKeptIndex = snapshotAt(index), rapid.Uint64Range(m.snapshot.Meta.Index, index).Draw(t, "keep")
		}
	default:
		from := last + 1 - min(last-m.snapshot.Meta.Index, uint64(rapid.IntRange(0, 3).Draw(t, "back")))
		w.Entries = entries(from, from+uint64(rapid.IntRange(0, 20).Draw(t, "count")), term)
	}
	return w
}

func snapshotAt(index uint64) *coordpb.Snapshot {
	return &coordpb.Snapshot{Meta: &coordpb.SnapshotMeta{Index: index}, Data: []byte(strings.Repeat("s", int(index)))}
}

// TestCrashes saves random writes, simulates power failures between them, and compares
// the contents after reopening with the acknowledged writes. The file system keeps a
// random part of the unsynced data.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		fs := vfs.NewCrashableMem()
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		s := createStore(fs)
		m := &model{hs: &coordpb.HardState{}, snapshot: &coordpb.Snapshot{Meta: &coordpb.SnapshotMeta{Membership: &coordpb.Membership{Members: []*coordpb.Member{{Id: 7}}}}}}
		for range rapid.IntRange(1, 60).Draw(t, "writes") {
			w := m.randomWrite(t)
			Expect(s.Save(w)).To(Succeed())
			m.save(w)
			if rapid.IntRange(0, 9).Draw(t, "crash") > 0 {
				continue
			}
			after := fs.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: rapid.SampledFrom([]int{0, 50, 100}).Draw(t, "kept"), RNG: random})
			_ = s.Close()
			fs, s = after, openStore(after)
			m.check(s)
		}
		_ = s.Close()
	})
}

func (m *model) check(s *store.Store) {
	d, err := s.Load()
	Expect(err).NotTo(HaveOccurred())
	Expect(proto.Equal(d.HardState, m.hs)).To(BeTrue())
	Expect(proto.Equal(d.Snapshot, m.snapshot)).To(BeTrue())
	Expect(d.Entries).To(HaveLen(len(m.entries)))
	for i, e := range m.entries {
		Expect(proto.Equal(d.Entries[i], e)).To(BeTrue(), "entry %d", e.Index)
	}
}
