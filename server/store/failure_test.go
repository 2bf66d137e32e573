package store_test

import (
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/store"
	"cowsliptiller/server/store/disktest"
)

// failingDisk refuses the changes that refuses selects while it is on.
type failingDisk struct {
	*errorfs.Toggle
	changes atomic.Int64 // attempted, refused or not
}

func newFailingDisk(refuses func(errorfs.Op) bool) *failingDisk {
	d := &failingDisk{}
	d.Toggle = &errorfs.Toggle{Injector: errorfs.InjectorFunc(func(op errorfs.Op) error {
		if refuses(op) {
			return disktest.ErrFull
		}
		return nil
	})}
	return d
}

func (d *failingDisk) String() string { return "failing disk" }

// MaybeError implements errorfs.Injector.
func (d *failingDisk) MaybeError(op errorfs.Op) error {
	if disktest.IsChange(op) {
		d.changes.Add(1)
	}
	return d.Toggle.MaybeError(op)
}

func (d *failingDisk) wrap(fs vfs.FS) vfs.FS { return disktest.Wrap(fs, d) }

func refusesAll(op errorfs.Op) bool { return disktest.IsChange(op) }

func refusesWrites(op errorfs.Op) bool {
	return op.Kind == errorfs.OpFileWrite || op.Kind == errorfs.OpFileWriteAt
}

func refusesSyncs(op errorfs.Op) bool {
	return op.Kind == errorfs.OpFileSync || op.Kind == errorfs.OpFileSyncData || op.Kind == errorfs.OpFileSyncTo
}

func refusesNewLogs(op errorfs.Op) bool {
	return (op.Kind == errorfs.OpCreate || op.Kind == errorfs.OpReuseForWrite) && strings.HasSuffix(op.Path, ".log")
}

func refusesTables(op errorfs.Op) bool {
	return disktest.IsChange(op) && strings.HasSuffix(op.Path, ".sst")
}

func refusesManifests(op errorfs.Op) bool {
	return disktest.IsChange(op) && strings.Contains(op.Path, "MANIFEST")
}

// failureKinds are the ways in which a disk refuses changes.
var failureKinds = map[string]func(errorfs.Op) bool{
	"every change": refusesAll, "writes": refusesWrites, "syncs": refusesSyncs,
	"new log files": refusesNewLogs, "tables": refusesTables, "manifests": refusesManifests,
}

// saveUntilFailure saves entries of 64 KiB, which fill the memory table within some 64 writes,
// until the store fails, and returns the last acknowledged index.
func saveUntilFailure(s *store.Store, from uint64) (acknowledged uint64, err error) {
	acknowledged = from - 1
	for i := from; i < from+400; i++ {
		if err = s.Save(bigWrite(i)); err != nil {
			return acknowledged, err
		}
		acknowledged = i
	}
	return acknowledged, nil
}

func bigWrite(i uint64) *consensus.Write {
	return &consensus.Write{HardState: &coordpb.HardState{Term: 1, Commit: i}, Sync: true,
		Entries: []*coordpb.Entry{{Index: i, Term: 1, Data: []byte(strings.Repeat("v", 64<<10))}}}
}

func expectEntriesThrough(s *store.Store, last uint64) {
	GinkgoHelper()
	d, err := s.Load()
	Expect(err).NotTo(HaveOccurred())
	Expect(len(d.Entries)).To(BeNumerically(">=", int(last)))
	Expect(d.HardState.Commit).To(BeNumerically(">=", last))
}

var _ = Describe("a data folder whose disk failed", func() {
	for kind, refuses := range failureKinds {
		// Guards against a folder that stays locked after a disk failure, and against a process that
		// ends in the database's error path.
		It("is opened again in the same process after its disk refused "+kind, func() {
			dir := filepath.Join(GinkgoT().TempDir(), "data")
			disk := newFailingDisk(refuses)
			fs := disk.wrap(vfs.Default)
			open := func() *store.Store {
				s, err := store.Open(dir, store.Options{FS: fs, PrivateDisk: true})
				Expect(err).NotTo(HaveOccurred())
				return s
			}
			s := open()
			Expect(s.Create(identity, consensus.Bootstrap(nil))).To(Succeed())
			last, err := uint64(0), error(nil)
			for range 3 {
				next := last + 1
				disk.On()
				last, err = saveUntilFailure(s, next)
				Expect(err).To(MatchError(ContainSubstring("no space left on device")))
				Expect(s.Failed()).To(BeClosed())
				disk.Off()
				Expect(s.Save(bigWrite(last + 1))).NotTo(Succeed())
				Expect(s.Close()).To(Succeed())
				s = open()
				expectEntriesThrough(s, last)
				d, err := s.Load()
				Expect(err).NotTo(HaveOccurred())
				last = uint64(len(d.Entries))
			}
			Expect(s.Close()).To(Succeed())
		})
	}

	// Guards against a failed database that writes into a folder which another one has open.
	It("is not changed by the failed database after the failure", func() {
		disk := newFailingDisk(refusesWrites)
		s := createStore(disk.wrap(vfs.NewMem()))
		_, err := saveUntilFailure(s, 1) // leaves a flush or compaction behind
		Expect(err).NotTo(HaveOccurred())
		disk.On()
		Expect(s.Save(bigWrite(401))).NotTo(Succeed())
		disk.Off()
		changes := func() int64 { return disk.changes.Load() }
		Expect(s.Close()).To(Succeed())
		before := changes()
		Consistently(changes).WithTimeout(200 * time.Millisecond).Should(Equal(before))
	})

	// Guards against goroutines, files and memory that each failure leaves behind.
	It("leaves no goroutine and no open file behind", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "data")
		disk := newFailingDisk(refusesWrites)
		fs := disk.wrap(vfs.Default)
		failOnce := func() {
			s, err := store.Open(dir, store.Options{FS: fs, PrivateDisk: true})
			Expect(err).NotTo(HaveOccurred())
			if _, found, err := s.Identity(); err == nil && !found {
				Expect(s.Create(identity, consensus.Bootstrap(nil))).To(Succeed())
			}
			disk.On()
			Expect(s.Save(bigWrite(1))).NotTo(Succeed())
			disk.Off()
			Expect(s.Close()).To(Succeed())
		}
		failOnce()
		goroutines, files := runtime.NumGoroutine(), openFiles(dir)
		for range 10 {
			failOnce()
		}
		Eventually(runtime.NumGoroutine).Should(BeNumerically("<=", goroutines))
		Expect(openFiles(dir)).To(Equal(files))
	})

	// Guards against an opening on a full disk that repeats its writes without end.
	It("is refused by Open while the disk is full, and opened once it has room", func() {
		disk := newFailingDisk(refusesAll)
		fs := disk.wrap(vfs.NewMem())
		s := createStore(fs)
		last, err := saveUntilFailure(s, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		disk.On()
		for range 3 {
			before := disk.changes.Load()
			_, err := store.Open(folder, store.Options{FS: fs})
			Expect(err).To(MatchError(ContainSubstring("no space left on device")))
			Expect(disk.changes.Load() - before).To(BeNumerically("<", 20))
		}
		disk.Off()
		s = openStore(fs)
		expectEntriesThrough(s, last)
		Expect(s.Close()).To(Succeed())
	})

	// Guards against a Close that waits without bound for a disk that does not answer, and against
	// unlocking the folder while a write may still reach it.
	It("stays locked after Close until a hanging write has returned", func() {
		release := make(chan struct{})
		hangs := newFailingDisk(func(op errorfs.Op) bool {
			if refusesWrites(op) && strings.HasSuffix(op.Path, ".log") {
				<-release
				return true
			}
			return false
		})
		fs := hangs.wrap(vfs.NewMem())
		s := createStore(fs)
		hangs.On()
		saved := make(chan error, 1)
		go func() { saved <- s.Save(bigWrite(1)) }()
		Consistently(saved).WithTimeout(100 * time.Millisecond).ShouldNot(Receive())
		Expect(s.Close()).To(MatchError(ContainSubstring("did not answer")))
		_, err := store.Open(folder, store.Options{FS: fs})
		Expect(err).To(MatchError(ContainSubstring("in use")))
		close(release)
		Eventually(saved).Should(Receive(HaveOccurred()))
		hangs.Off()
		Eventually(func() error {
			again, err := store.Open(folder, store.Options{FS: fs})
			if err != nil {
				return err
			}
			return again.Close()
		}).Should(Succeed())
	})
})

var _ = Describe("a data folder with a damaged table", func() {
	// Guards against a database that is abandoned, with its memory, at each attempt to open the folder.
	It("is refused by Open, and leaves no goroutine behind", func() {
		fs := vfs.NewMem()
		s := createStore(fs)
		_, err := saveUntilFailure(s, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Close()).To(Succeed())
		damageTables(fs)
		open := func() {
			_, err := store.Open(folder, store.Options{FS: fs})
			Expect(err).To(MatchError(ContainSubstring("keep it for inspection")))
			Expect(err).NotTo(MatchError(ContainSubstring("in use")))
		}
		open()
		goroutines := runtime.NumGoroutine()
		for range 5 {
			open()
		}
		Eventually(runtime.NumGoroutine).Should(BeNumerically("<=", goroutines))
	})
})

// damageTables changes a byte in the middle of each table.
func damageTables(fs *vfs.MemFS) {
	names, err := fs.List(folder)
	Expect(err).NotTo(HaveOccurred())
	damaged := 0
	for _, name := range names {
		if !strings.HasSuffix(name, ".sst") {
			continue
		}
		data, err := fs.UnsafeGetFileDataBuffer(fs.PathJoin(folder, name))
		Expect(err).NotTo(HaveOccurred())
		data[len(data)/2] ^= 0x10
		damaged++
	}
	Expect(damaged).To(BeNumerically(">", 0))
}

// openFiles returns how many of this process's open files lie in dir.
func openFiles(dir string) int {
	links, err := os.ReadDir("/proc/self/fd")
	Expect(err).NotTo(HaveOccurred())
	open := 0
	for _, l := range links {
		if target, err := os.Readlink(filepath.Join("/proc/self/fd", l.Name())); err == nil && strings.HasPrefix(target, dir) {
			open++
		}
	}
	return open
}

// Guards against an acknowledged state that a loss of power removes with the folder, whose creation was
// not durable at the first attempt.
func TestFolderIsDurableAfterAFailedCreation(t *testing.T) {
	for allowed := range int64(6) {
		RegisterTestingT(t)
		mem := vfs.NewCrashableMem()
		var disk *failingDisk
		disk = newFailingDisk(func(op errorfs.Op) bool { return disktest.IsChange(op) && disk.changes.Load() > allowed })
		disk.On()
		_, err := store.Open("/a/b", store.Options{FS: disk.wrap(mem)})
		Expect(err).To(HaveOccurred())
		disk.Off()
		s, err := store.Open("/a/b", store.Options{FS: disk.wrap(mem)})
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Create(identity, consensus.Bootstrap(nil))).To(Succeed())
		after, err := store.Open("/a/b", store.Options{FS: mem.CrashClone(vfs.CrashCloneCfg{})})
		Expect(err).NotTo(HaveOccurred())
		_, found, err := after.Identity()
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue(), "after %d changes", allowed)
		Expect(s.Close()).To(Succeed())
		Expect(after.Close()).To(Succeed())
	}
}

// Guards against acknowledged writes that a disk failure loses, a failed write that is kept in part, and
// contents that were read after a failure and are lost at the next power failure.
func TestDiskFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		mem := vfs.NewCrashableMem()
		kind := rapid.SampledFrom(slices.Sorted(maps.Keys(failureKinds))).Draw(t, "kind")
		disk := newFailingDisk(failureKinds[kind])
		s := createStore(disk.wrap(mem))
		m := &model{hs: &coordpb.HardState{}, snapshot: &coordpb.Snapshot{Meta: &coordpb.SnapshotMeta{Membership: &coordpb.Membership{Members: []*coordpb.Member{{Id: 7}}}}}}
		for range rapid.IntRange(1, 40).Draw(t, "writes") {
			w := m.randomWrite(t)
			if rapid.IntRange(0, 3).Draw(t, "failing") > 0 {
				Expect(s.Save(w)).To(Succeed())
				m.save(w)
				continue
			}
			disk.On()
			err := s.Save(w)
			disk.Off()
			acknowledged := *m
			m.save(w)
			_ = s.Close()
			s = openStore(disk.wrap(mem))
			if err != nil && !m.matches(s) {
				m = &acknowledged
			}
			m.check(s)
			if rapid.Bool().Draw(t, "power failure") {
				mem = mem.CrashClone(vfs.CrashCloneCfg{})
				_ = s.Close()
				s = openStore(disk.wrap(mem))
				m.check(s)
			}
		}
		_ = s.Close()
	})
}

// matches reports whether the store holds what the model does.
func (m *model) matches(s *store.Store) bool {
	d, err := s.Load()
	Expect(err).NotTo(HaveOccurred())
	same := func(a, b *coordpb.Entry) bool { return proto.Equal(a, b) }
	return proto.Equal(d.HardState, m.hs) && proto.Equal(d.Snapshot, m.snapshot) && slices.EqualFunc(d.Entries, m.entries, same)
}
