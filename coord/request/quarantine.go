package request

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: a request crashes every target that runs it, and its caller keeps retrying.
// Without it: each retry takes down a target, with all requests in the same batch.
// Rule: a crash is recorded as a strike only against a request that ran alone. Repeatable
// requests of a crashed batch are run again, each alone on a target. A request with
// MaxStrikes strikes is refused.

// Strikes against the whole batch would refuse requests that caused no crash, and would let
// a caller have the requests of others refused by sending a bad one at the same time. A
// request that is not repeatable is never run again: when its caller retries it, the
// answer comes from its claim.
const (
	// MaxStrikes is the number of strikes at which a request is refused. After one crash
	// the target may have failed by itself; two of the same request are no coincidence.
	MaxStrikes = 2
	// StrikeTTL is how long a strike counts: longer than a caller's retries, and short
	// enough that a repaired engine serves the request again the same day.
	StrikeTTL = time.Hour
)

// Fingerprint is a SHA-256 digest that identifies a request by its content, within its
// workspace.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the digest of everything that determines how a target runs the
// request. Each part is prefixed with its length, so that different lists of parts cannot
// produce the same input to the hash.
func FingerprintOf(workspace, destination, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(workspace), []byte(destination), []byte(path), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// Strikes holds the strikes recorded against one request.
type Strikes struct {
	Count   int
	Expires time.Time
}

// CheckStrikes returns a fault.Quarantined error for a request with MaxStrikes strikes or
// more that have not expired.
func CheckStrikes(s Strikes, now time.Time) error {
	if s.Count < MaxStrikes || !now.Before(s.Expires) {
		return nil
	}
	return fault.New(fault.Quarantined, "the request crashed its targets %d times; refused for %v", s.Count, s.Expires.Sub(now).Round(time.Second))
}

// MustRunAlone reports whether a request with these strikes must run alone on its target: it has
// crashed one, and another crash must not affect other requests.
func MustRunAlone(s Strikes, now time.Time) bool {
	return s.Count > 0 && now.Before(s.Expires)
}

// CrashOutcome is the decision about a request that was running when its target crashed.
type CrashOutcome struct {
	Strike     bool // record a strike against the request
	RerunAlone bool // run the request again, alone on a target
}

// AfterCrash decides about a request that was running when its target crashed. Others is
// the number of other requests that were running on the same target.
func AfterCrash(others int, repeatable bool) CrashOutcome {
	return CrashOutcome{Strike: others == 0, RerunAlone: repeatable}
}
