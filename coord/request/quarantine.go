package request

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/maphash"
	"io"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: a request crashes every target that runs it, and its caller keeps retrying.
// Without it: each retry takes down a target, with all requests in the same batch.
// Rule: a crash is a strike against a request that ran alone. Where an agent controls what its
// target runs, repeatable requests of a crashed batch are run again, each alone on a target.
// Where entry hosts send to shared targets, the crash is a shared strike against the whole
// batch (crash.go). Enough strikes of either kind refuse the request.

// A request that is not repeatable is never run again: when its caller retries it, the
// answer comes from its claim.
const (
	// MaxStrikes is the number of strikes at which a request is refused. After one crash
	// the target may have failed by itself; two of the same request are no coincidence.
	MaxStrikes = 2
	// MaxSharedStrikes is the number of shared strikes at which a request is refused. With two,
	// a request that is resumed once during two unrelated crashes would be refused.
	MaxSharedStrikes = 3
	// StrikeTTL is how long a strike counts: longer than a caller's retries, and short
	// enough that a repaired engine serves the request again the same day.
	StrikeTTL = time.Hour
)

// Fingerprint is a SHA-256 digest that identifies a request by its content, within its
// workspace.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the digest of everything that determines how a target runs the
// request.
func FingerprintOf(workspace, destination, path string, body []byte) Fingerprint {
	h := sha256.New()
	writeContent(h, workspace, destination, path, body)
	var f Fingerprint
	h.Sum(f[:0])
	return f
}

// ContentHash returns a hash of what FingerprintOf digests. It is cheap enough for every request, and
// differs between processes.
func ContentHash(seed maphash.Seed, workspace, destination, path string, body []byte) uint64 {
	var h maphash.Hash
	h.SetSeed(seed)
	writeContent(&h, workspace, destination, path, body)
	return h.Sum64()
}

// writeContent writes the parts to a hash, which never fails. Each part is prefixed with its length,
// so that different lists of parts cannot produce the same input.
func writeContent(h io.Writer, workspace, destination, path string, body []byte) {
	for _, part := range [][]byte{[]byte(workspace), []byte(destination), []byte(path), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
}

// Strikes holds the strikes recorded against one request.
type Strikes struct {
	Count   int       // crashes while it ran alone
	Shared  int       // crashes while it ran beside others
	Until   time.Time // when the refusal ends, if that is before Expires; zero: at Expires
	Expires time.Time // when the strikes are forgotten
}

// Quarantined reports whether there are enough strikes to refuse the request. Strikes of both
// kinds add up, each as its share of the number that is enough by itself.
func (s Strikes) Quarantined() bool {
	return s.Count*MaxSharedStrikes+s.Shared*MaxStrikes >= MaxStrikes*MaxSharedStrikes
}

// CheckStrikes returns a fault.Quarantined error with a retry time for a request with enough
// strikes that have not expired.
func CheckStrikes(s Strikes, now time.Time) error {
	end := s.Expires
	if !s.Until.IsZero() && s.Until.Before(end) {
		end = s.Until
	}
	if !s.Quarantined() || !now.Before(end) {
		return nil
	}
	left := end.Sub(now)
	return fault.NewRetryAfter(fault.Quarantined, left, "the request crashed its targets %d times; refused for %v", s.Count+s.Shared, left.Round(time.Second))
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
