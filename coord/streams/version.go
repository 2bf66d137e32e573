package streams

import "time"

// Evidence is an entry host's information about software versions.
type Evidence struct {
	*Versions
	*History
}

// NewEvidence returns empty evidence.
func NewEvidence(now time.Time) Evidence { return Evidence{NewVersions(now), NewHistory()} }

// VersionOf returns the software version at which a stream may be resumed: that of its origin. If that
// is not known, it is the only version that the service has had for as long as the stream can have
// lasted. It reports false if the version cannot be determined: resuming the stream could join two.
func (e Evidence) VersionOf(o Origin, lasted time.Duration, now time.Time) (version string, ok bool) {
	if o.SoftwareVersion != "" {
		return o.SoftwareVersion, true
	}
	if v := e.Find(o.Target, now); v != "" {
		return v, true
	}
	return e.only(o.Service, lasted, now)
}

// Contradicts reports whether a service has had a target of another version for as long as a stream
// can have lasted.
func (e Evidence) Contradicts(service, version string, lasted time.Duration, now time.Time) bool {
	for _, t := range e.seen(service, lasted, now) {
		if v := e.Find(t, now); v != "" && v != version {
			return true
		}
	}
	return false
}

// only returns the version that every target of a service has had for a time until now.
func (e Evidence) only(service string, span time.Duration, now time.Time) (version string, ok bool) {
	targets, ok := e.Targets(service, span, now)
	if !ok {
		return "", false
	}
	for _, t := range targets {
		v := e.Find(t, now)
		if v == "" || version != "" && v != version {
			return "", false
		}
		version = v
	}
	return version, version != ""
}

// Answer is what another host knows of a stream.
type Answer struct {
	Origin      Origin // empty: it has none; without a SoftwareVersion: it does not know the version
	OnlyVersion string // the only one that the service has had for as long as the stream can have lasted; empty: not known
}

// Agree returns the origin of a stream of which this host knows none, by the answers of others: an origin, or else
// the only version that the service has had, if all that know one agree, this host has seen no other, and nobody
// knows that the stream began at another service.
func (e Evidence) Agree(service string, answers []Answer, lasted time.Duration, now time.Time) (Origin, bool) {
	for _, a := range answers {
		if a.Origin.SoftwareVersion != "" {
			return a.Origin, true
		}
		if s := a.Origin.Service; s != "" && s != service {
			return a.Origin, false
		}
	}
	only := ""
	for _, a := range answers {
		if a.OnlyVersion == "" {
			continue
		}
		if only != "" && only != a.OnlyVersion {
			return Origin{}, false
		}
		only = a.OnlyVersion
	}
	agreed := only != "" && !e.Contradicts(service, only, lasted, now)
	return Origin{Service: service, SoftwareVersion: only}, agreed
}
