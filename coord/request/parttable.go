package request

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"slices"
	"time"
)

// Limits of the table. Any workspace can send ever new ids, so a full table drops a row of the
// workspace that has the most.
const (
	// MaxSuspectedParts limits the parts with strikes that were never refused.
	MaxSuspectedParts = 2048
	// MaxConvictedParts limits the parts that were refused. Suspected parts do not push them out.
	MaxConvictedParts = 512
)

// PartSuspect is a request without any event of its answer as its target crashed.
type PartSuspect struct {
	Workspace string
	Request   uint64 // hash of its content, not 0
	Parts     []Part // those that CompletedParts.Accused returns
}

// PartTable holds the strikes against parts. Its decisions depend on its arguments only.
type PartTable struct {
	rows PartRows
}

// PartChanges is what a change of the table did, each list in order.
type PartChanges struct {
	Changed   []Part // rows that were added or replaced
	Removed   []Part
	Convicted []Part   // refused from now on
	Explained []uint64 // crashes that refused parts explain, as far as that is new
}

// NewPartTable returns a table with these rows.
func NewPartTable(rows PartRows) *PartTable {
	t := &PartTable{rows: PartRows{}}
	maps.Copy(t.rows, rows)
	return t
}

// Rows returns the rows, which must not be modified.
func (t *PartTable) Rows() PartRows { return t.rows }

// HashCrash returns the hash by which a part's crashes are identified.
func HashCrash(crash string) uint64 {
	digest := sha256.Sum256([]byte(crash))
	return binary.BigEndian.Uint64(digest[:])
}

// HashRequest returns the hash by which requests with one part are told apart.
func HashRequest(fingerprint []byte) uint64 {
	digest := sha256.Sum256(fingerprint)
	return max(1, binary.BigEndian.Uint64(digest[:]))
}

// Explains reports whether a part that was refused was in a crash.
func (t *PartTable) Explains(crash uint64) bool {
	for _, s := range t.rows {
		if s.Convicted() && s.hasCrash(crash) {
			return true
		}
	}
	return false
}

// RecordCrash records a crash against the parts of the suspects. A crash under a refused part is not
// held against others. Hosts report a crash one after the other, and may repeat a report.
func (t *PartTable) RecordCrash(crash uint64, suspects []PartSuspect, now time.Time) PartChanges {
	e := partEdit{rows: t.rows, now: now, touched: map[Part]bool{}}
	holders := holdersOf(suspects)
	switch convicted := e.convictedOf(holders); {
	case len(convicted) > 0:
		e.recordExplained(crash, convicted, holders, suspects)
	case !t.Explains(crash):
		e.accuse(crash, holders)
	}
	e.enforceLimits()
	return e.changes()
}

// Clear removes the strikes of parts on which a target has written an answer.
func (t *PartTable) Clear(parts []Part) PartChanges {
	e := partEdit{rows: t.rows, touched: map[Part]bool{}}
	for _, p := range parts {
		e.remove(p)
	}
	return e.changes()
}

// Expire removes the rows that have expired.
func (t *PartTable) Expire(now time.Time) PartChanges {
	e := partEdit{rows: t.rows, now: now, touched: map[Part]bool{}}
	for p, s := range t.rows {
		if !now.Before(s.Expires) {
			e.remove(p)
		}
	}
	return e.changes()
}

// partHolder is what a crash holds against one part.
type partHolder struct {
	part      Part
	workspace string
	request   uint64 // 0: several requests held it
}

// holdersOf returns the parts of the suspects, in the order of the report.
func holdersOf(suspects []PartSuspect) []partHolder {
	var out []partHolder
	index := map[Part]int{}
	for _, s := range suspects {
		for _, p := range s.Parts[:min(MaxParts, len(s.Parts))] {
			i, exists := index[p]
			if !exists {
				index[p] = len(out)
				out = append(out, partHolder{part: p, workspace: s.Workspace, request: s.Request})
			} else if out[i].request != s.Request {
				out[i].request = 0
			}
		}
	}
	return out
}

// partEdit is a change of the table under way.
type partEdit struct {
	rows      PartRows
	now       time.Time
	touched   map[Part]bool
	convicted []Part
	explained []uint64
}

func (e *partEdit) changes() PartChanges {
	out := PartChanges{Convicted: e.convicted, Explained: e.explained}
	for _, p := range slices.Sorted(maps.Keys(e.touched)) {
		if _, exists := e.rows[p]; exists {
			out.Changed = append(out.Changed, p)
		} else {
			out.Removed = append(out.Removed, p)
		}
	}
	return out
}

func (e *partEdit) put(p Part, s PartStrikes) {
	e.rows[p] = s
	e.touched[p] = true
}

// remove deletes a row. Parts that were tied to it are refused without it.
func (e *partEdit) remove(p Part) {
	s, exists := e.rows[p]
	if !exists {
		return
	}
	delete(e.rows, p)
	e.touched[p] = true
	for _, other := range s.Tied {
		e.untie(other, p)
	}
}

// untie removes a part from those that another is tied to.
func (e *partEdit) untie(p, from Part) {
	s, exists := e.rows[p]
	if !exists || !slices.Contains(s.Tied, from) {
		return
	}
	s.Tied = slices.DeleteFunc(slices.Clone(s.Tied), func(q Part) bool { return q == from })
	e.put(p, s)
}

// convictedOf returns those of the parts that were refused before.
func (e *partEdit) convictedOf(holders []partHolder) []partHolder {
	return slices.DeleteFunc(slices.Clone(holders), func(h partHolder) bool {
		s := e.rows[h.part]
		return !s.Convicted() || !e.now.Before(s.Expires)
	})
}

// accuse records a crash that no refused part explains. The parts that it refuses explain all their
// crashes.
func (e *partEdit) accuse(crash uint64, holders []partHolder) {
	var group []Part
	for _, h := range holders {
		s := e.rows[h.part]
		if !e.now.Before(s.Expires) {
			s = PartStrikes{Workspace: h.workspace}
		}
		if s.hasCrash(crash) {
			continue
		}
		s = s.withCrash(PartCrash{Crash: crash, Request: h.request, At: e.now, Counted: s.counts(e.now)})
		s.Expires = e.now.Add(PartMemory)
		e.put(h.part, s)
		if s.enough() {
			group = append(group, h.part)
		}
	}
	slices.Sort(group)
	for _, p := range group {
		e.convict(p, group)
	}
	for _, p := range group {
		e.explain(p)
	}
}

// convict refuses a part that reached its last strike together with the group.
func (e *partEdit) convict(p Part, group []Part) {
	s := e.rows[p]
	s.Until = e.now.Add(PartRefusal)
	s.Tied = slices.DeleteFunc(slices.Clone(group), func(q Part) bool { return q == p })
	e.put(p, s)
	e.convicted = append(e.convicted, p)
}

// recordExplained records a crash under parts that were refused before: they are refused anew. A
// crash without a request that holds all parts of a tie shows which of them is bad.
func (e *partEdit) recordExplained(crash uint64, convicted, holders []partHolder, suspects []PartSuspect) {
	present := map[Part]bool{}
	for _, h := range holders {
		present[h.part] = true
	}
	var split []Part
	for _, h := range convicted {
		s := e.rows[h.part]
		if s.hasCrash(crash) {
			continue
		}
		tied := len(s.Tied) > 0
		decisive := tied && !holdsAll(suspects, append([]Part{h.part}, s.Tied...))
		s = s.withCrash(PartCrash{Crash: crash, Request: h.request, At: e.now, Counted: decisive && s.counts(e.now)})
		if !e.now.Before(s.Until) {
			e.convicted = append(e.convicted, h.part)
		}
		s.Until, s.Expires = e.now.Add(PartRefusal), e.now.Add(PartMemory)
		e.put(h.part, s)
		if tied && s.Count() >= PartStrikesToSplit {
			split = append(split, h.part)
		}
	}
	for _, p := range split {
		e.split(p, present)
	}
	for _, h := range convicted {
		e.explain(h.part)
	}
}

// holdsAll reports whether one of the suspects holds all the parts.
func holdsAll(suspects []PartSuspect, parts []Part) bool {
	return slices.ContainsFunc(suspects, func(s PartSuspect) bool { return containsAll(s.Parts, parts) })
}

// split ends a tie: the part crashed a target without others of it, which lose the crashes that it
// explains.
func (e *partEdit) split(p Part, present map[Part]bool) {
	s := e.rows[p]
	for _, other := range s.Tied {
		if !present[other] {
			e.takeCrashes(other, s)
		}
	}
	for _, other := range s.Tied {
		e.untie(other, p)
	}
	s = e.rows[p]
	s.Tied = nil
	e.put(p, s)
}

// explain takes the crashes of a refused part from the parts that were never refused.
func (e *partEdit) explain(p Part) {
	explains := e.rows[p]
	for _, c := range explains.Crashes {
		if !slices.Contains(e.explained, c.Crash) {
			e.explained = append(e.explained, c.Crash)
		}
	}
	for _, other := range slices.Sorted(maps.Keys(e.rows)) {
		if !e.rows[other].Convicted() {
			e.takeCrashes(other, explains)
		}
	}
}

// takeCrashes takes the crashes that a row explains from a part. Without enough of them it is not
// refused any more.
func (e *partEdit) takeCrashes(p Part, explains PartStrikes) {
	s := e.rows[p]
	kept := slices.DeleteFunc(slices.Clone(s.Crashes), func(c PartCrash) bool { return explains.hasCrash(c.Crash) })
	if len(kept) == len(s.Crashes) {
		return
	}
	if len(kept) == 0 {
		e.remove(p)
		return
	}
	for _, other := range s.Tied {
		e.untie(other, p)
	}
	s.Crashes, s.Tied = kept, nil
	if s.Convicted() && !s.enough() {
		s.Until = time.Time{}
	}
	e.put(p, s)
}

// enforceLimits drops rows of a table that is too large: of the workspace that has the most rows of
// that kind, the one that expires first.
func (e *partEdit) enforceLimits() {
	e.enforceLimit(false, MaxSuspectedParts)
	e.enforceLimit(true, MaxConvictedParts)
}

func (e *partEdit) enforceLimit(convicted bool, limit int) {
	parts := e.partsWith(convicted)
	if len(parts) <= limit {
		return
	}
	perWorkspace := map[string]int{}
	for _, p := range parts {
		perWorkspace[e.rows[p].Workspace]++
	}
	slices.SortFunc(parts, func(a, b Part) int {
		return cmp.Or(e.rows[a].Expires.Compare(e.rows[b].Expires), cmp.Compare(a, b))
	})
	for n := len(parts); n > limit; n-- {
		largest := largestOf(perWorkspace)
		perWorkspace[largest]--
		i := slices.IndexFunc(parts, func(p Part) bool { return e.rows[p].Workspace == largest })
		e.remove(parts[i])
		parts = slices.Delete(parts, i, i+1)
	}
}

// partsWith returns the parts that were refused before, or those that never were, in no order.
func (e *partEdit) partsWith(convicted bool) []Part {
	var out []Part
	for p, s := range e.rows {
		if s.Convicted() == convicted {
			out = append(out, p)
		}
	}
	return out
}

// largestOf returns the workspace with the most rows, of several the first by name.
func largestOf(perWorkspace map[string]int) string {
	return slices.MaxFunc(slices.Sorted(maps.Keys(perWorkspace)), func(a, b string) int {
		return cmp.Compare(perWorkspace[a], perWorkspace[b])
	})
}

func (s PartStrikes) hasCrash(crash uint64) bool {
	return slices.ContainsFunc(s.Crashes, func(c PartCrash) bool { return c.Crash == crash })
}

// counts reports whether a crash at now counts: it is not close to one that does.
func (s PartStrikes) counts(now time.Time) bool {
	return !slices.ContainsFunc(s.Crashes, func(c PartCrash) bool { return c.Counted && now.Before(c.At.Add(partCrashSpacing)) })
}

// withCrash returns the row with one more crash. The oldest that do not count are dropped, then the
// oldest ones.
func (s PartStrikes) withCrash(c PartCrash) PartStrikes {
	s.Crashes = append(slices.Clone(s.Crashes), c)
	for len(s.Crashes) > maxPartCrashes {
		oldest := max(0, slices.IndexFunc(s.Crashes, func(c PartCrash) bool { return !c.Counted }))
		s.Crashes = slices.Delete(s.Crashes, oldest, oldest+1)
	}
	return s
}

// enough reports whether the crashes refuse the part: enough of them, and not all of one request.
func (s PartStrikes) enough() bool {
	if s.Count() < PartStrikesToRefuse {
		return false
	}
	first := s.Crashes[0].Request
	return first == 0 || slices.ContainsFunc(s.Crashes, func(c PartCrash) bool { return c.Request != first })
}
