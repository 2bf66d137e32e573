package store

import (
	"errors"
	"os"
	"sync"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

const (
	folderMode = 0o700
	// A control group's state is small: these keep the folder and the memory small too.
	memTableBytes = 4 << 20
	cacheBytes    = 4 << 20
)

// Options for Open.
type Options struct {
	FS     vfs.FS // nil: the operating system's files
	Logger hclog.Logger
}

// Store is an open data folder. Everything but Failed, Err and Close belongs to
// one goroutine.
type Store struct {
	db   *pebble.DB
	lock *pebble.Lock
	log  hclog.Logger
	// next is one past the last stored entry; first is the lowest that may be stored.
	first, next uint64
	sequence    uint64 // of the newest write

	failed chan struct{}
	mu     sync.Mutex // guards err; taken alone
	err    error
}

// Open opens or makes a data folder and locks it against other processes.
func Open(folder string, o Options) (*Store, error) {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.FS == nil {
		o.FS = vfs.Default
	}
	if err := makeFolder(o.FS, folder); err != nil {
		return nil, err
	}
	lock, err := pebble.LockDirectory(folder, o.FS)
	if err != nil {
		return nil, fault.New(fault.Conflict, "data folder %s is in use by another process, or cannot be locked: %v", folder, err)
	}
	s := &Store{lock: lock, log: o.Logger, failed: make(chan struct{}), first: 1, next: 1}
	if err := s.open(folder, o.FS); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return s, nil
}

func (s *Store) open(folder string, fs vfs.FS) (err error) {
	defer s.recoverFatal(&err)
	if err := s.verifyLog(folder, fs); err != nil {
		return unreadable(folder, err)
	}
	s.db, err = pebble.Open(folder, s.options(fs))
	if err != nil {
		return unreadable(folder, err)
	}
	if s.sequence, err = readSequence(s.db); err == nil {
		err = s.findEntries()
	}
	if err != nil {
		_ = s.db.Close()
		return unreadable(folder, err)
	}
	return nil
}

func unreadable(folder string, cause error) error {
	return fault.New(fault.Internal, "data folder %s cannot be read: %v; keep it for inspection, and bring the member back with an empty folder under a new id", folder, cause)
}

func (s *Store) options(fs vfs.FS) *pebble.Options {
	listener := &pebble.EventListener{
		BackgroundError: func(err error) { s.fail(err) },
		DiskSlow:        func(i pebble.DiskSlowInfo) { s.log.Warn("the disk is slow", "path", i.Path, "took", i.Duration) },
	}
	return &pebble.Options{
		FS: fs, Lock: s.lock, Logger: logger{s}, EventListener: listener,
		// Newest: its log records which bytes were synced, so that a damaged synced
		// record is told from a torn tail.
		FormatMajorVersion: pebble.FormatNewest,
		MemTableSize:       memTableBytes,
		CacheSize:          cacheBytes,
	}
}

// makeFolder makes the folder for its owner alone.
func makeFolder(fs vfs.FS, folder string) error {
	info, err := fs.Stat(folder)
	switch {
	case err == nil && !info.IsDir():
		return fault.New(fault.InvalidRequest, "data folder %s is no folder", folder)
	case err == nil && fs == vfs.Default && info.Mode().Perm()&0o077 != 0:
		return fault.New(fault.InvalidRequest, "data folder %s is open to others: mode %o, allowed is 0700", folder, info.Mode().Perm())
	case err == nil:
		return nil
	case !errors.Is(err, os.ErrNotExist):
		return fault.New(fault.InvalidRequest, "data folder: %v", err)
	}
	return makeAndSync(fs, folder)
}

// makeAndSync makes a folder and what is missing above it, each synced into its parent.
func makeAndSync(fs vfs.FS, folder string) error {
	parent := fs.PathDir(folder)
	if _, err := fs.Stat(parent); errors.Is(err, os.ErrNotExist) && parent != folder {
		if err := makeAndSync(fs, parent); err != nil {
			return err
		}
	}
	if err := fs.MkdirAll(folder, folderMode); err != nil {
		return fault.New(fault.InvalidRequest, "data folder: %v", err)
	}
	dir, err := fs.OpenDir(parent)
	if err != nil {
		return fault.New(fault.InvalidRequest, "data folder's parent: %v", err)
	}
	defer func() { _ = dir.Close() }()
	if err := dir.Sync(); err != nil {
		return fault.New(fault.Internal, "data folder's parent cannot be synced: %v", err)
	}
	return nil
}

// Create writes the first records of a new folder in one step.
func (s *Store) Create(id Identity, d consensus.Durable) error {
	b := s.db.NewBatch()
	if err := putIdentity(b, id); err != nil {
		return err
	}
	if err := s.fill(b, &consensus.Write{HardState: d.HardState, Snapshot: d.Snapshot, Entries: d.Entries}); err != nil {
		return err
	}
	return s.commit(b)
}

// Save makes a write durable. It returns after the sync. An error is final: the
// caller must acknowledge nothing more and stop the process.
func (s *Store) Save(w *consensus.Write) error {
	b := s.db.NewBatch()
	if err := s.fill(b, w); err != nil {
		return err
	}
	return s.commit(b)
}

func (s *Store) fill(b *pebble.Batch, w *consensus.Write) error {
	if w.Reset {
		if err := b.DeleteRange(entryKey(s.first), entryKey(s.next), nil); err != nil {
			return fault.New(fault.Internal, "store: %v", err)
		}
		s.first, s.next = w.Snapshot.Meta.Index+1, w.Snapshot.Meta.Index+1
	}
	if err := s.fillEntries(b, w.Entries); err != nil {
		return err
	}
	if w.HardState != nil {
		v, err := sealMessage(hardStateKey, w.HardState)
		if err != nil {
			return err
		}
		if err := b.Set(hardStateKey, v, nil); err != nil {
			return fault.New(fault.Internal, "store: %v", err)
		}
	}
	if w.Snapshot == nil {
		return nil
	}
	return s.fillSnapshot(b, w)
}

func (s *Store) fillEntries(b *pebble.Batch, entries []*coordpb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	if from := entries[0].Index; from < s.next {
		// A later leader replaced the tail; the old one must not show up behind it.
		if err := b.DeleteRange(entryKey(from), entryKey(s.next), nil); err != nil {
			return fault.New(fault.Internal, "store: %v", err)
		}
	}
	for _, e := range entries {
		k := entryKey(e.Index)
		v, err := sealMessage(k, e)
		if err != nil {
			return err
		}
		if err := b.Set(k, v, nil); err != nil {
			return fault.New(fault.Internal, "store: %v", err)
		}
	}
	s.next = entries[len(entries)-1].Index + 1
	return nil
}

// fillSnapshot replaces the snapshot and drops the entries that it makes needless.
func (s *Store) fillSnapshot(b *pebble.Batch, w *consensus.Write) error {
	v, err := sealMessage(snapshotKey, w.Snapshot)
	if err != nil {
		return err
	}
	if err := b.Set(snapshotKey, v, nil); err != nil {
		return fault.New(fault.Internal, "store: %v", err)
	}
	if w.KeepFrom <= s.first {
		return nil
	}
	if err := b.DeleteRange(entryKey(s.first), entryKey(w.KeepFrom), nil); err != nil {
		return fault.New(fault.Internal, "store: %v", err)
	}
	s.first = w.KeepFrom
	s.next = max(s.next, s.first)
	return nil
}

// commit syncs a batch.
func (s *Store) commit(b *pebble.Batch) (err error) {
	defer s.recoverFatal(&err)
	if err := s.Err(); err != nil {
		return err
	}
	s.sequence++
	if err := putSequence(b, s.sequence); err != nil {
		return s.fail(err)
	}
	if err := s.db.Apply(b, pebble.Sync); err != nil {
		return s.fail(err)
	}
	return s.Err()
}

// Load reads everything back and checks it. A missing, torn or corrupt record is
// an error: a member that went on without it would deny what it acknowledged.
func (s *Store) Load() (consensus.Durable, error) {
	var d consensus.Durable
	hs, snap := &coordpb.HardState{}, &coordpb.Snapshot{}
	if err := s.load(hardStateKey, hs); err != nil {
		return d, err
	}
	if err := s.load(snapshotKey, snap); err != nil {
		return d, err
	}
	entries, err := s.loadEntries()
	if err != nil {
		return d, err
	}
	return consensus.Durable{HardState: hs, Snapshot: snap, Entries: entries}, nil
}

func (s *Store) loadEntries() ([]*coordpb.Entry, error) {
	var entries []*coordpb.Entry
	err := s.eachEntry(func(key, value []byte) error {
		e := &coordpb.Entry{}
		if err := unsealMessage(key, value, e); err != nil {
			return err
		}
		if e.Index != entryIndex(key) {
			return fault.New(fault.Internal, "store: entry %d lies under the key of %d", e.Index, entryIndex(key))
		}
		if n := len(entries); n > 0 && e.Index != entries[n-1].Index+1 {
			return fault.New(fault.Internal, "store: entry %d is missing from the log", entries[n-1].Index+1)
		}
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

func (s *Store) eachEntry(take func(key, value []byte) error) error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: entryKey(0), UpperBound: []byte{entryPrefix + 1}})
	if err != nil {
		return fault.New(fault.Internal, "store: %v", err)
	}
	defer func() { _ = it.Close() }()
	for it.First(); it.Valid(); it.Next() {
		value, err := it.ValueAndErr()
		if err != nil {
			return fault.New(fault.Internal, "store: entry %d cannot be read: %v", entryIndex(it.Key()), err)
		}
		if err := take(it.Key(), value); err != nil {
			return err
		}
	}
	if err := it.Error(); err != nil {
		return fault.New(fault.Internal, "store: the log cannot be read: %v", err)
	}
	return nil
}

// findEntries sets which entries are stored.
func (s *Store) findEntries() error {
	found := false
	return s.eachEntry(func(key, _ []byte) error {
		if !found {
			s.first, found = entryIndex(key), true
		}
		s.next = entryIndex(key) + 1
		return nil
	})
}

func (s *Store) load(key []byte, m proto.Message) error {
	value, found, err := get(s.db, key)
	if err != nil {
		return err
	}
	if !found {
		return fault.New(fault.Internal, "store: record %q is missing", key)
	}
	return unsealMessage(key, value, m)
}

func get(db *pebble.DB, key []byte) ([]byte, bool, error) {
	value, closer, err := db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, fault.New(fault.Internal, "store: record %q cannot be read: %v", key, err)
	}
	defer func() { _ = closer.Close() }()
	return append([]byte(nil), value...), true, nil
}

// Close releases the folder. After a failure the database is left as it is.
func (s *Store) Close() (err error) {
	defer s.recoverFatal(&err)
	if s.Err() == nil {
		err = s.db.Close()
	}
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}
