package store

import (
	"errors"

	"github.com/cockroachdb/pebble/v2"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/consensus"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Load reads and verifies the hard state, the snapshot and the log. A missing,
// truncated or corrupt record is an error: without it the member would contradict
// votes or lack entries that it acknowledged.
func (s *Store) Load() (consensus.PersistentState, error) {
	var d consensus.PersistentState
	err := s.call(func() (err error) {
		d, err = s.load()
		return err
	})
	if err != nil {
		return consensus.PersistentState{}, err
	}
	return d, nil
}

func (s *Store) load() (consensus.PersistentState, error) {
	var d consensus.PersistentState
	hs, snap := &coordpb.HardState{}, &coordpb.Snapshot{}
	if err := s.loadRecord(hardStateKey, hs); err != nil {
		return d, err
	}
	if err := s.loadRecord(snapshotKey, snap); err != nil {
		return d, err
	}
	entries, err := s.loadEntries()
	if err != nil {
		return d, err
	}
	return consensus.PersistentState{HardState: hs, Snapshot: snap, Entries: entries}, nil
}

func (s *Store) loadEntries() ([]*coordpb.Entry, error) {
	var entries []*coordpb.Entry
	err := s.forEachEntry(func(key, value []byte) error {
		e := &coordpb.Entry{}
		if err := unmarshalRecord(key, value, e); err != nil {
			return err
		}
		if e.Index != entryIndex(key) {
			return fault.New(fault.Internal, "store: entry %d is stored under the key of entry %d", e.Index, entryIndex(key))
		}
		if n := len(entries); n > 0 && e.Index != entries[n-1].Index+1 {
			return fault.New(fault.Internal, "store: entry %d is missing from the log", entries[n-1].Index+1)
		}
		entries = append(entries, e)
		return nil
	})
	return entries, err
}

func (s *Store) forEachEntry(visit func(key, value []byte) error) error {
	it, err := s.db.NewIter(&pebble.IterOptions{LowerBound: entryKey(0), UpperBound: []byte{entryPrefix + 1}})
	if err != nil {
		return fault.New(fault.Internal, "store: opening an iterator over the log: %v", err)
	}
	defer func() { _ = it.Close() }()
	for it.First(); it.Valid(); it.Next() {
		value, err := it.ValueAndErr()
		if err != nil {
			return fault.New(fault.Internal, "store: entry %d cannot be read: %v", entryIndex(it.Key()), err)
		}
		if err := visit(it.Key(), value); err != nil {
			return err
		}
	}
	if err := it.Error(); err != nil {
		return fault.New(fault.Internal, "store: the log cannot be read: %v", err)
	}
	return nil
}

// loadEntryRange sets firstIndex and nextIndex from the stored entries.
func (s *Store) loadEntryRange() error {
	found := false
	return s.forEachEntry(func(key, _ []byte) error {
		if !found {
			s.firstIndex, found = entryIndex(key), true
		}
		s.nextIndex = entryIndex(key) + 1
		return nil
	})
}

func (s *Store) loadRecord(key []byte, m proto.Message) error {
	value, found, err := getRecord(s.db, key)
	if err != nil {
		return err
	}
	if !found {
		return fault.New(fault.Internal, "store: record %q is missing", key)
	}
	return unmarshalRecord(key, value, m)
}

func getRecord(db *pebble.DB, key []byte) ([]byte, bool, error) {
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
