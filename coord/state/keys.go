package state

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// keys is the aggregate of callers' API keys. Only digests are stored, so that no
// snapshot, backup or view contains a key. A key consists of 32 random bytes, so an
// unsalted digest resists brute force.
type keys struct {
	rows      map[string]*coordpb.Key
	digests   map[string]string // digest -> key id
	withdrawn []string          // key ids, oldest first
}

func newKeys() keys {
	return keys{rows: map[string]*coordpb.Key{}, digests: map[string]string{}}
}

func (k *keys) put(row *coordpb.Key) {
	k.rows[row.KeyId] = row
	k.digests[string(row.Digest)] = row.KeyId
}

func (k *keys) give(m *coordpb.GiveKey, at commandContext) (*coordpb.Key, error) {
	if err := checkName("key id", m.KeyId); err != nil {
		return nil, err
	}
	if len(m.Digest) != sha256.Size {
		return nil, fault.New(fault.InvalidRequest, "key digest has %d bytes, %d are needed", len(m.Digest), sha256.Size)
	}
	if _, dup := k.rows[m.KeyId]; dup {
		return nil, fault.New(fault.Conflict, "key id %q is taken", m.KeyId)
	}
	if _, dup := k.digests[string(m.Digest)]; dup {
		return nil, fault.New(fault.Conflict, "the key is already given")
	}
	if len(k.rows) >= MaxKeys {
		return nil, fault.New(fault.Overloaded, "%d keys are held, no more are allowed", MaxKeys)
	}
	row := &coordpb.Key{KeyId: m.KeyId, Workspace: m.Workspace, Digest: m.Digest, Revision: at.revision}
	k.put(row)
	return row, nil
}

// withdraw marks a key as withdrawn; no command reverses it. dropped is the id of
// the oldest withdrawn key if MaxWithdrawnKeys required its removal, or "".
func (k *keys) withdraw(m *coordpb.WithdrawKey, at commandContext) (row *coordpb.Key, changed bool, dropped string, err error) {
	row, ok := k.rows[m.KeyId]
	if !ok {
		return nil, false, "", fault.New(fault.NotFound, "no key is named %q", m.KeyId)
	}
	if row.Withdrawn {
		return row, false, "", nil
	}
	row = cloneRow(row)
	row.Withdrawn = true
	row.Revision = at.revision
	k.rows[row.KeyId] = row
	k.withdrawn = append(k.withdrawn, row.KeyId)
	if len(k.withdrawn) > MaxWithdrawnKeys {
		dropped = k.withdrawn[0]
		k.withdrawn = k.withdrawn[1:]
		delete(k.digests, string(k.rows[dropped].Digest))
		delete(k.rows, dropped)
	}
	return row, true, dropped, nil
}

// withdrawnIDs returns the ids of the withdrawn keys, oldest first. Their revisions
// are distinct, since each withdrawal is a separate command.
func withdrawnIDs(rows []*coordpb.Key) []string {
	var withdrawn []*coordpb.Key
	for _, row := range rows {
		if row.Withdrawn {
			withdrawn = append(withdrawn, row)
		}
	}
	slices.SortFunc(withdrawn, func(a, b *coordpb.Key) int { return cmp.Compare(a.Revision, b.Revision) })
	ids := make([]string, 0, len(withdrawn))
	for _, row := range withdrawn {
		ids = append(ids, row.KeyId)
	}
	return ids
}
