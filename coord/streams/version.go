package streams

import (
	"slices"
	"time"
)

// Evidence is a process's information about software versions.
type Evidence struct {
	*Versions
	*History
}

// NewEvidence returns empty evidence.
func NewEvidence(now time.Time) Evidence { return Evidence{NewVersions(now), NewHistory()} }

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

// SpanOf is the time until now for which the versions of a service must be known, if a stream began at most as long ago
// as lasted says.
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
