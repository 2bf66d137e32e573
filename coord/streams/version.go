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

// Answer is the answer of another host that was asked for the origin of a stream.
type Answer struct {
	Origin Origin // zero if the host does not have it; without SoftwareVersion if the version is not known
	// OnlyVersion is the only software version that the service has had for as long as the stream can
	// have lasted; empty if there were several, or the host cannot determine it.
	OnlyVersion string
}

// Agree determines the origin of a stream from the answers of other hosts: a known origin, or else the only
// version of the service. It reports false if the answers differ, if this host has seen another version, or if
// the stream began at another service.
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
	if only == "" || e.Contradicts(service, only, lasted, now) {
		return Origin{}, false
	}
	return Origin{Service: service, SoftwareVersion: only}, true
}
