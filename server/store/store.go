package store

import (
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

const (
	// A control group's state is small: these limit disk and memory use.
	memTableBytes = 4 << 20
	cacheBytes    = 4 << 20
	// closeTimeout bounds the wait of Close for a disk that does not answer.
	closeTimeout = 2 * time.Second
	lockName     = "LOCK"
)

// Options configures Open.
type Options struct {
	FS     vfs.FS // nil: the operating system's file system
	Logger hclog.Logger
	// PrivateDisk skips the check of the data folder's mode; set it only if no other
	// process can access the disk.
	PrivateDisk bool
}

// Store is an open data folder. All methods but Failed, Err and Close must be called
// from one goroutine.
type Store struct {
	db     *pebble.DB
	disk   *guardedFS
	lock   io.Closer // of the folder
	folder string
	log    hclog.Logger
	// nextIndex is one past the last stored entry; firstIndex is the lowest index that
	// may be stored.
	firstIndex, nextIndex uint64
	sequence              uint64 // of the latest write

	failed    chan struct{}
	stuck     chan struct{} // closed when the database is abandoned in Fatalf
	stuckOnce sync.Once
	mu        sync.Mutex // guards err; no other lock is held with it
	err       error
}

// Open opens or creates a data folder and locks it against other processes.
func Open(folder string, o Options) (*Store, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if err := ensureFolder(o.FS, folder, o.PrivateDisk); err != nil {
		return nil, err
	}
	lock, err := o.FS.Lock(o.FS.PathJoin(folder, lockName))
	if err != nil {
		return nil, fault.New(fault.Conflict, "data folder %s is in use, or cannot be locked: %v", folder, err)
	}
	s := &Store{
		lock: lock, folder: folder, log: o.Logger, firstIndex: 1, nextIndex: 1,
		failed: make(chan struct{}), stuck: make(chan struct{}),
	}
	if s.disk, err = newGuardedFS(o.FS, folder, func(err error) { _ = s.recordFailure(err) }); err == nil {
		err = s.open()
	}
	if err != nil {
		if closeErr := s.Close(); closeErr != nil {
			s.log.Warn("closing the data folder failed", "folder", folder, "error", closeErr)
		}
		return nil, err
	}
	return s, nil
}

// open returns the disk's failure if there was one: what the database returns then is its
// consequence.
func (s *Store) open() error {
	err := s.call(s.openDatabase)
	if failure := s.Err(); failure != nil {
		return failure
	}
	if err != nil {
		return unreadableError(s.folder, err)
	}
	return nil
}

func (s *Store) openDatabase() error {
	if err := s.verifyWAL(); err != nil {
		return err
	}
	db, err := pebble.Open(s.folder, s.options())
	if err != nil {
		return err
	}
	s.db = db
	if s.sequence, err = readSequence(s.db); err != nil {
		return err
	}
	return s.loadEntryRange()
}

func unreadableError(folder string, cause error) error {
	return fault.New(fault.Internal, "data folder %s cannot be read: %v; keep it for inspection, and bring the member back with an empty folder under a new id", folder, cause)
}

func (s *Store) options() *pebble.Options {
	listener := &pebble.EventListener{
		BackgroundError: func(err error) { _ = s.fail(err) },
		// The default handler calls Fatalf.
		DataCorruption: func(i pebble.DataCorruptionInfo) { _ = s.fail(unreadableError(s.folder, i.Details)) },
		DiskSlow:       func(i pebble.DiskSlowInfo) { s.log.Warn("the disk is slow", "path", i.Path, "took", i.Duration) },
	}
	return &pebble.Options{
		FS: s.disk, Logger: pebbleLogger{s}, EventListener: listener,
		// The newest format records in its log which bytes were synced, which
		// distinguishes a corrupt synced record from a torn tail.
		FormatMajorVersion: pebble.FormatNewest,
		MemTableSize:       memTableBytes,
		CacheSize:          cacheBytes,
	}
}

// Create writes the initial records of a new folder atomically. An error is final, as
// in Save.
func (s *Store) Create(id Identity, d consensus.PersistentState) error {
	b := s.db.NewBatch()
	if err := putIdentity(b, id); err != nil {
		return err
	}
	if err := s.addWrite(b, &consensus.Write{HardState: d.HardState, Snapshot: d.Snapshot, Entries: d.Entries}); err != nil {
		return err
	}
	return s.commit(b)
}

// Save makes a write durable. It returns after the sync. An error is final: the
// caller must send no further acknowledgement and close the store.
func (s *Store) Save(w *consensus.Write) error {
	b := s.db.NewBatch()
	if err := s.addWrite(b, w); err != nil {
		return err
	}
	return s.commit(b)
}

// addWrite adds the records of w to the batch.
func (s *Store) addWrite(b *pebble.Batch, w *consensus.Write) error {
	if w.Reset {
		if err := b.DeleteRange(entryKey(s.firstIndex), entryKey(s.nextIndex), nil); err != nil {
			return fault.New(fault.Internal, "store: deleting the log: %v", err)
		}
		s.firstIndex, s.nextIndex = w.Snapshot.Meta.Index+1, w.Snapshot.Meta.Index+1
	}
	if err := s.addEntries(b, w.Entries); err != nil {
		return err
	}
	if w.HardState != nil {
		v, err := marshalRecord(hardStateKey, w.HardState)
		if err != nil {
			return err
		}
		if err := b.Set(hardStateKey, v, nil); err != nil {
			return fault.New(fault.Internal, "store: writing the hard state: %v", err)
		}
	}
	if w.Snapshot == nil {
		return nil
	}
	return s.addSnapshot(b, w)
}

func (s *Store) addEntries(b *pebble.Batch, entries []*coordpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if from := entries[0].Index; from < s.nextIndex {
		// A later leader replaced the end of the log; entries of the old one must not
		// remain after the new ones.
		if err := b.DeleteRange(entryKey(from), entryKey(s.nextIndex), nil); err != nil {
			return fault.New(fault.Internal, "store: deleting replaced entries: %v", err)
		}
	}
	for _, e := range entries {
		k := entryKey(e.Index)
		v, err := marshalRecord(k, e)
		if err != nil {
			return err
		}
		if err := b.Set(k, v, nil); err != nil {
			return fault.New(fault.Internal, "store: writing an entry: %v", err)
		}
	}
	s.nextIndex = entries[len(entries)-1].Index + 1
	return nil
}

// addSnapshot replaces the snapshot and deletes the entries below w.FirstKeptIndex.
func (s *Store) addSnapshot(b *pebble.Batch, w *consensus.Write) error {
	v, err := marshalRecord(snapshotKey, w.Snapshot)
	if err != nil {
		return err
	}
	if err := b.Set(snapshotKey, v, nil); err != nil {
		return fault.New(fault.Internal, "store: writing the snapshot: %v", err)
	}
	if w.FirstKeptIndex <= s.firstIndex {
		return nil
	}
	if err := b.DeleteRange(entryKey(s.firstIndex), entryKey(w.FirstKeptIndex), nil); err != nil {
		return fault.New(fault.Internal, "store: deleting compacted entries: %v", err)
	}
	s.firstIndex = w.FirstKeptIndex
	s.nextIndex = max(s.nextIndex, s.firstIndex)
	return nil
}

// commit applies a batch with the next sequence number and syncs it.
func (s *Store) commit(b *pebble.Batch) error {
	if err := s.Err(); err != nil {
		return err
	}
	s.sequence++
	if err := putSequence(b, s.sequence); err != nil {
		return s.fail(err)
	}
	if err := s.call(func() error { return s.db.Apply(b, pebble.Sync) }); err != nil {
		return s.fail(err)
	}
	// guardedFS reports success to the database after a failure.
	return s.Err()
}

// Close closes the database and unlocks the folder, after which another Store can open it.
// While the disk does not answer, it returns an error after closeTimeout, and the folder
// is unlocked once the disk has answered.
func (s *Store) Close() error {
	closed := make(chan error, 1)
	go func() { closed <- s.close() }()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case err := <-closed:
		return err
	case <-timer.C:
		return fault.New(fault.Unavailable, "data folder %s: the disk did not answer for %v; the folder stays locked until it does", s.folder, closeTimeout)
	}
}

func (s *Store) close() error {
	var err error
	if s.db != nil && !s.isStuck() {
		err = s.call(s.db.Close)
	}
	if s.Err() != nil {
		// What it returns follows from the failure, which was reported.
		err = nil
		s.disk.awaitInFlight()
	}
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}
