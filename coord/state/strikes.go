package state

import (
	"encoding/hex"
	"slices"

	"cowsliptiller/coord/coordpb"
)

// strikes is the aggregate of the quarantine: requests that were running when their
// target crashed, by fingerprint within their workspace. Shared strikes are in crashes.go.
//
// A caller retries a request that crashed its target; the retry reaches another entry
// host and crashes the next target. The count is replicated because no single entry
// host sees all attempts. Each attempt counts once, since the agent, the entry host
// and a resend can all report the same crash.
type strikes struct {
	rows map[string]*coordpb.Strikes
}

func newStrikes() strikes {
	return strikes{rows: map[string]*coordpb.Strikes{}}
}

// StrikesID returns the id of a strikes row, as used in tables and tombstones.
func StrikesID(workspace string, fingerprint []byte) string {
	return workspace + "/" + hex.EncodeToString(fingerprint)
}

// record counts an attempt. dropped is the id of the row that was removed because the
// workspace exceeded MaxStrikesPerWorkspace, or "".
func (s *strikes) record(m *coordpb.RecordStrike, at commandContext) (row *coordpb.Strikes, changed bool, dropped string, err error) {
	if err := checkStrike(m); err != nil {
		return nil, false, "", err
	}
	id := StrikesID(m.Workspace, m.Fingerprint)
	old, ok := s.rows[id]
	if ok && old.ExpiresUnixMs <= at.now {
		ok = false
	}
	if ok && (slices.Contains(old.Attempts, m.Attempt) || len(old.Attempts) >= StrikeLimit) {
		return old, false, "", nil
	}
	row = &coordpb.Strikes{Workspace: m.Workspace, Fingerprint: m.Fingerprint, Revision: at.revision}
	if ok {
		row.Attempts, row.Shared = slices.Clone(old.Attempts), old.Shared
	}
	row.Attempts = append(row.Attempts, m.Attempt)
	row.ExpiresUnixMs = strikeExpiry(m.ExpiresUnixMs, at.now)
	s.rows[id] = row
	return row, true, s.enforceLimit(m.Workspace), nil
}

func checkStrike(m *coordpb.RecordStrike) error {
	if err := checkName("workspace", m.Workspace); err != nil {
		return err
	}
	if err := checkName("fingerprint", string(m.Fingerprint)); err != nil {
		return err
	}
	return checkName("attempt", m.Attempt)
}

// strikeExpiry returns the expiry of a row in Unix milliseconds: StrikeRetention from
// now, or the requested time if that is in the future and earlier.
func strikeExpiry(requested, now int64) int64 {
	limit := now + StrikeRetention.Milliseconds()
	if requested <= now {
		return limit
	}
	return min(requested, limit)
}

// enforceLimit removes the row that expires first if a workspace has more than
// MaxStrikesPerWorkspace rows, and returns its id, or "".
func (s *strikes) enforceLimit(workspace string) string {
	var ids []string
	for _, id := range sortedIDs(s.rows) {
		if s.rows[id].Workspace == workspace {
			ids = append(ids, id)
		}
	}
	if len(ids) <= MaxStrikesPerWorkspace {
		return ""
	}
	first := slices.MinFunc(ids, func(a, b string) int {
		return int(s.rows[a].ExpiresUnixMs - s.rows[b].ExpiresUnixMs)
	})
	delete(s.rows, first)
	return first
}

// expire removes the expired rows and returns their ids in sorted order.
func (s *strikes) expire(now int64) []string {
	var expired []string
	for _, id := range sortedIDs(s.rows) {
		if s.rows[id].ExpiresUnixMs <= now {
			delete(s.rows, id)
			expired = append(expired, id)
		}
	}
	return expired
}
