package store

import (
	"encoding/json"

	"github.com/cockroachdb/pebble/v2"

	"cowsliptiller/coord/fault"
)

// Identity identifies the member and the group that a data folder belongs to. It
// guards against a host that lost its disk and restarts under its old id: it would
// vote a second time in a term and lack entries that it acknowledged, and the group
// could lose a committed change. A random disk id is assigned when the folder is
// created; the other members record it and reject the same member with another one.
type Identity struct {
	Member uint64 `json:"member"`
	Group  string `json:"group"` // empty until a joining member has received it
	DiskID string `json:"disk"`
	// Formed is set once every other initial member has accepted this disk. Until
	// then the member neither votes nor stands for election.
	Formed bool `json:"formed"`
	// KnownDisks maps each other member to the disk id first seen from it.
	KnownDisks map[uint64]string `json:"known"`
}

// Identity returns the stored identity; false if the folder is new.
func (s *Store) Identity() (Identity, bool, error) {
	var id Identity
	found := false
	err := s.call(func() (err error) {
		id, found, err = s.identity()
		return err
	})
	if err != nil {
		return Identity{}, false, err
	}
	return id, found, nil
}

func (s *Store) identity() (Identity, bool, error) {
	var id Identity
	value, found, err := getRecord(s.db, identityKey)
	if err != nil || !found {
		return id, false, err
	}
	payload, err := decodeRecord(identityKey, value)
	if err != nil {
		return id, false, err
	}
	if err := json.Unmarshal(payload, &id); err != nil {
		return id, false, fault.New(fault.Internal, "store: decoding the identity: %v", err)
	}
	return id, true, nil
}

// SaveIdentity replaces the identity. It returns after the sync. An error is final,
// as in Save.
func (s *Store) SaveIdentity(id Identity) error {
	b := s.db.NewBatch()
	if err := putIdentity(b, id); err != nil {
		return err
	}
	return s.commit(b)
}

func putIdentity(b *pebble.Batch, id Identity) error {
	payload, err := json.Marshal(id)
	if err != nil {
		return fault.New(fault.Internal, "store: encoding the identity: %v", err)
	}
	return b.Set(identityKey, encodeRecord(identityKey, payload), nil)
}
