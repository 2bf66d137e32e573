package streams

import (
	"iter"
	"slices"
	"time"

	"cowsliptiller/coord/targetstatus"
)

// Evidence is a process's information about software versions.
type Evidence struct {
	*Versions
	*History
}

// NewEvidence returns empty evidence.
func NewEvidence(now time.Time) Evidence { return Evidence{NewVersions(now), NewHistory()} }

// TargetOf returns the target of a row of a leader's table.
func TargetOf(s *targetstatus.Status) Target {
	return Target{Instance: s.Instance, StartedUnixMs: s.StartedUnixMs}
}

// ObserveRows records the rows of a table, whose Targets they replace, and their software versions.
func (e Evidence) ObserveRows(rows iter.Seq[*targetstatus.Status], t Table, now time.Time) {
	t.Targets = map[string][]Target{}
	for s := range rows {
		e.Record(TargetOf(s), s.SoftwareVersion, now)
		t.Targets[s.Service] = append(t.Targets[s.Service], TargetOf(s))
	}
	e.Observe(t, now)
}

// VersionOf returns the software version of a stream's origin; empty: it is not known.
func (e Evidence) VersionOf(o Origin, now time.Time) string {
	if o.SoftwareVersion != "" {
		return o.SoftwareVersion
	}
	return e.Find(o.Target, now)
}

// VersionsOf returns the versions of all targets that a service is known to have had for a time until now, sorted. An
// empty one is of a target whose version is not known.
func (e Evidence) VersionsOf(service string, span time.Duration, now time.Time) (versions []string) {
	for _, t := range e.seen(service, span, now) {
		versions = append(versions, e.Find(t, now))
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// ServiceVersions is the answer of the control leader about a service.
type ServiceVersions struct {
	Versions []string // that its targets have had; an empty one: of a target whose version is not known
	Term     uint64   // of the leader
	KnownFor time.Duration
}

// SpanOf returns for how long until now the versions of a service must be known to resume a stream that has lasted for a
// time: a target that left the leader's table before it began may have begun it.
func SpanOf(lasted time.Duration) time.Duration { return lasted + maxTableLag }

// Only returns the only version that the targets of a service have had since a stream of unknown origin can have begun.
// The leader must have been asked after the request that resumes the stream had come: only its answer shows targets
// that this host has not seen yet. This host's own tables are evidence for the time before the leader's first one. It
// reports false if there may have been another version.
func (e Evidence) Only(service string, leader ServiceVersions, lasted time.Duration, now time.Time) (version string, ok bool) {
	span := SpanOf(lasted)
	if leader.KnownFor == 0 || leader.KnownFor < span && !e.reaches(span, leader.Term, now) {
		return "", false
	}
	versions := slices.Concat(leader.Versions, e.VersionsOf(service, span, now))
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 || versions[0] == "" {
		return "", false
	}
	return versions[0], true
}

// Single reports whether a service has had one version for a time until now, as far as this process has seen.
func (e Evidence) Single(service string, span time.Duration, now time.Time) bool {
	versions := e.VersionsOf(service, span, now)
	return e.KnownFor(now) >= span && len(versions) == 1 && versions[0] != ""
}
