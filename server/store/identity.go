package store

import (
	"encoding/json"

	"github.com/cockroachdb/pebble/v2"

	"cowsliptiller/coord/fault"
)

// Identity says whose folder this is. It guards against a host that lost its
// disk and comes back under its old id: it would vote a second time in a term
// and deny entries it had acknowledged, and the group could lose a committed
// change. The disk id is drawn when the folder is made, the others remember it,
// and they refuse the same member with another one.
type Identity struct {
	Member uint64 `json:"member"`
	Group  string `json:"group"` // empty until a joining member has learned it
	Disk   string `json:"disk"`
	// Formed is set once every other first member has accepted this disk. Before,
	// the member neither votes nor stands.
	Formed bool `json:"formed"`
	// Known holds the disk of each other member, as first met.
	Known map[uint64]string `json:"known"`
}

// Identity returns the folder's identity; false when the folder is new.
func (s *Store) Identity() (Identity, bool, error) {
	var id Identity
	value, found, err := get(s.db, identityKey)
	if err != nil || !found {
		return id, false, err
	}
	payload, err := unseal(identityKey, value)
	if err != nil {
		return id, false, err
	}
	if err := json.Unmarshal(payload, &id); err != nil {
		return id, false, fault.New(fault.Internal, "store: the identity cannot be read: %v", err)
	}
	return id, true, nil
}

// SaveIdentity replaces the identity. It returns after the sync; an error is final.
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
		return fault.New(fault.Internal, "store: identity: %v", err)
	}
	return b.Set(identityKey, seal(identityKey, payload), nil)
}
