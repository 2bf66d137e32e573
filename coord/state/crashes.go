package state

import (
	"slices"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
)

// crashOutcome is what a RecordCrashes command changed.
type crashOutcome struct {
	changed     bool
	removed     []string // ids of rows that were deleted
	quarantined []string // ids of rows whose request is refused from now on
}

// recordCrashes records what a host saw of crashed targets. Hosts report the same crash one after
// the other, each with its own requests, and may repeat a report. A crash under a part that is
// refused is not held against requests.
func (s *strikes) recordCrashes(m *coordpb.RecordCrashes, parts *parts, at commandContext) (out crashOutcome) {
	for _, c := range m.Crashes {
		if parts.explain(c.Id) {
			continue
		}
		for _, suspect := range c.Suspects {
			s.addShared(c.Id, suspect, &out, at)
		}
	}
	// Last, because a report doesn't say which came first: a request that ends targets is never
	// among these.
	for _, r := range m.Completed {
		s.clearShared(StrikesID(r.Workspace, r.Fingerprint), nil, &out, at)
	}
	return out
}

// clearByParts takes crashes that a refused part explains, by their hashes, from all requests that
// are not refused.
func (s *strikes) clearByParts(explained []uint64, out *crashOutcome, at commandContext) {
	if len(explained) == 0 {
		return
	}
	for _, id := range sortedIDs(s.rows) {
		crashes := map[string]bool{}
		for _, strike := range s.rows[id].Shared {
			if slices.Contains(explained, request.HashCrash(strike.Crash)) {
				crashes[strike.Crash] = true
			}
		}
		if len(crashes) > 0 && !quarantined(s.rows[id]) {
			s.clearShared(id, crashes, out, at)
		}
	}
}

func checkCrashes(m *coordpb.RecordCrashes) error {
	for _, c := range m.Crashes {
		if err := checkCrash(c); err != nil {
			return err
		}
	}
	return nil
}

func checkCrash(c *coordpb.Crash) error {
	if err := checkName("crash", c.Id); err != nil {
		return err
	}
	for _, suspect := range c.Suspects {
		if err := checkName("fingerprint", string(suspect.GetRequest().GetFingerprint())); err != nil {
			return err
		}
	}
	return nil
}

// addShared records a crash against one request, unless another request explains the crash.
func (s *strikes) addShared(crash string, suspect *coordpb.Suspect, out *crashOutcome, at commandContext) {
	r := suspect.GetRequest()
	id := StrikesID(r.GetWorkspace(), r.GetFingerprint())
	if s.explainedBy(crash, id, at.now) {
		return
	}
	row := &coordpb.Strikes{Workspace: r.GetWorkspace(), Fingerprint: r.GetFingerprint()}
	if old := s.rows[id]; old != nil && old.ExpiresUnixMs > at.now {
		row = cloneRow(old)
	}
	strikes, before := SharedStrikes(row), quarantined(row)
	strike := request.SharedStrike{Crash: crash, Progress: suspect.Progress, At: time.UnixMilli(at.now)}
	list := request.AddSharedStrike(strikes, strike, strike.At.Add(-time.Duration(suspect.AgeMs)*time.Millisecond))
	if slices.Equal(list, strikes) {
		return
	}
	row.Shared = sharedToProto(list)
	row.Revision = at.revision
	row.ExpiresUnixMs = max(row.ExpiresUnixMs, at.now+sharedRetention(row).Milliseconds())
	s.rows[id], out.changed = row, true
	if dropped := s.enforceLimit(row.Workspace); dropped != "" {
		out.removed = append(out.removed, dropped)
	}
	if !quarantined(row) {
		return
	}
	if !before {
		out.quarantined = append(out.quarantined, id)
	}
	s.clearExplained(crash, id, row, before, out, at)
}

// clearExplained takes the crashes that a refused request explains from all other requests: of
// all its strikes when it is refused first, later of the newest one.
func (s *strikes) clearExplained(crash, id string, row *coordpb.Strikes, newestOnly bool, out *crashOutcome, at commandContext) {
	explained := map[string]bool{crash: true}
	for _, strike := range row.Shared {
		explained[strike.Crash] = explained[strike.Crash] || !newestOnly
	}
	for _, other := range sortedIDs(s.rows) {
		if other != id && hasStrike(s.rows[other], explained) && !quarantined(s.rows[other]) {
			s.clearShared(other, explained, out, at)
		}
	}
}

// clearShared removes shared strikes of a row: those of the given crashes, or all if crashes is
// nil. A row without strikes is deleted.
func (s *strikes) clearShared(id string, crashes map[string]bool, out *crashOutcome, at commandContext) {
	old := s.rows[id]
	if old == nil {
		return
	}
	var kept []*coordpb.SharedStrike
	for _, strike := range old.Shared {
		if crashes != nil && !crashes[strike.Crash] {
			kept = append(kept, strike)
		}
	}
	if len(kept) == len(old.Shared) {
		return
	}
	out.changed = true
	if len(kept) == 0 && len(old.Attempts) == 0 {
		delete(s.rows, id)
		out.removed = append(out.removed, id)
		return
	}
	row := cloneRow(old)
	row.Shared, row.Revision = kept, at.revision
	s.rows[id] = row
}

// explainedBy reports whether a request other than that of a row is refused and was running
// during a crash.
func (s *strikes) explainedBy(crash, except string, now int64) bool {
	crashes := map[string]bool{crash: true}
	for id, row := range s.rows {
		if id != except && row.ExpiresUnixMs > now && hasStrike(row, crashes) && quarantined(row) {
			return true
		}
	}
	return false
}

// hasStrike reports whether a row has a shared strike of one of the crashes.
func hasStrike(row *coordpb.Strikes, crashes map[string]bool) bool {
	return slices.ContainsFunc(row.Shared, func(s *coordpb.SharedStrike) bool { return crashes[s.Crash] })
}

// quarantined reports whether a row's strikes are enough to refuse its request.
func quarantined(row *coordpb.Strikes) bool {
	return request.Strikes{Count: len(row.Attempts), Shared: request.CountShared(SharedStrikes(row))}.Quarantined()
}

// sharedRetention is how long a row's newest shared strike counts.
func sharedRetention(row *coordpb.Strikes) time.Duration {
	if quarantined(row) {
		return StrikeRetention
	}
	return request.SuspectTTL
}

// SharedStrikes returns the shared strikes of a row.
func SharedStrikes(row *coordpb.Strikes) []request.SharedStrike {
	var out []request.SharedStrike
	for _, s := range row.GetShared() {
		out = append(out, request.SharedStrike{Crash: s.Crash, Progress: s.Progress, At: time.UnixMilli(s.AtUnixMs), Concurrent: s.Concurrent})
	}
	return out
}

func sharedToProto(list []request.SharedStrike) []*coordpb.SharedStrike {
	var out []*coordpb.SharedStrike
	for _, s := range list {
		out = append(out, &coordpb.SharedStrike{Crash: s.Crash, Progress: s.Progress, AtUnixMs: s.At.UnixMilli(), Concurrent: s.Concurrent})
	}
	return out
}
