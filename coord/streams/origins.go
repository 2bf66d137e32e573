package streams

import "time"

// Origin says where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is of the target that sent the first event; empty: it was not known then.
	SoftwareVersion string
	Target          Target
}

// Target identifies one start of a target. A target may start again under its id.
type Target struct {
	Instance      string
	StartedUnixMs int64 // in milliseconds since the Unix epoch
}

const (
	// OriginLifetime is how long an origin is kept at least: longer than callers wait for a stream.
	OriginLifetime = 60 * time.Second
	// maxOrigins bounds the origins of one lifetime, to some 20 MB.
	maxOrigins = 1 << 16
	// maxTargets bounds the versions of one lifetime.
	maxTargets = 1 << 14
)

// Origins holds the origins of streams by the id of each stream.
type Origins struct{ byStream agingMap[string, Origin] }

// NewOrigins returns an empty table.
func NewOrigins(now time.Time) *Origins {
	return &Origins{newAgingMap[string, Origin](OriginLifetime, maxOrigins, now)}
}

// Record records where a stream began.
func (o *Origins) Record(stream string, origin Origin, now time.Time) {
	o.byStream.set(stream, origin, now)
}

// Find returns where a stream began.
func (o *Origins) Find(stream string, now time.Time) (Origin, bool) {
	return o.byStream.get(stream, now)
}

// Versions holds the software versions of targets, also for a time after they are gone.
type Versions struct{ byTarget agingMap[Target, string] }

// NewVersions returns an empty table.
func NewVersions(now time.Time) *Versions {
	return &Versions{newAgingMap[Target, string](OriginLifetime, maxTargets, now)}
}

// Record records a target's version, which may be empty if the source does not know it. It returns
// the version that is known.
func (v *Versions) Record(t Target, version string, now time.Time) string {
	if version == "" {
		return v.Find(t, now)
	}
	v.byTarget.set(t, version, now)
	return version
}

// Find returns a target's version, empty if it is not known.
func (v *Versions) Find(t Target, now time.Time) string {
	version, _ := v.byTarget.get(t, now)
	return version
}
