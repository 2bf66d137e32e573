package state

import (
	"encoding/hex"
	"slices"

	"cowsliptiller/coord/coordpb"
)

// strikes is the aggregate of the quarantine: requests that were running when
// their target crashed, by fingerprint within their workspace.
//
// A request that crashes its target is sent again by its caller, meets another
// entry host and takes the next target down. The count is kept here because no
// entry host sees all attempts. One attempt strikes once: several reports of the
// same crash (the agent's, the entry host's, a resend) must not add up.
type strikes struct {
	rows map[string]*coordpb.Strikes
}

func newStrikes() strikes {
	return strikes{rows: map[string]*coordpb.Strikes{}}
}

// StrikesID names a row of strikes, in tombstones and tables.
func StrikesID(workspace string, fingerprint []byte) string {
	return workspace + "/" + hex.EncodeToString(fingerprint)
}

// record adds an attempt. dropped names the row that the workspace's limit forgets.
func (s *strikes) record(m *coordpb.RecordStrike, at step) (row *coordpb.Strikes, changed bool, dropped string, err error) {
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
		row.Attempts = slices.Clone(old.Attempts)
	}
	row.Attempts = append(row.Attempts, m.Attempt)
	row.ExpiresUnixMs = strikeExpiry(m.ExpiresUnixMs, at.now)
	s.rows[id] = row
	return row, true, s.trim(m.Workspace), nil
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

func strikeExpiry(asked, now int64) int64 {
	limit := now + StrikeRetention.Milliseconds()
	if asked <= now {
		return limit
	}
	return min(asked, limit)
}

// trim drops the row nearest to its expiry once a workspace is over its limit.
func (s *strikes) trim(workspace string) string {
	var mine []string
	for _, id := range sorted(s.rows) {
		if s.rows[id].Workspace == workspace {
			mine = append(mine, id)
		}
	}
	if len(mine) <= MaxStrikesPerWorkspace {
		return ""
	}
	oldest := slices.MinFunc(mine, func(a, b string) int {
		return int(s.rows[a].ExpiresUnixMs - s.rows[b].ExpiresUnixMs)
	})
	delete(s.rows, oldest)
	return oldest
}

// expire returns the ids of the rows that are past their time, in order.
func (s *strikes) expire(now int64) []string {
	var gone []string
	for _, id := range sorted(s.rows) {
		if s.rows[id].ExpiresUnixMs <= now {
			delete(s.rows, id)
			gone = append(gone, id)
		}
	}
	return gone
}
