package request

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"cowsliptiller/coord/fault"
)

// Load pattern: one request crashes each target that runs it, and its caller sends it
// again and again. The engines batch, so others run beside it when they crash.
//
// Without quarantine one caller takes down a target for each retry. With a rule that
// blames all that ran, the neighbours are refused although they are innocent, and a
// caller can have another's request refused by sending a bad one beside it.
//
// The rule: a crash strikes a request only when it ran alone. The requests of a
// crashed batch are suspects: those that are repeatable run again, alone. One that
// crashes its target alone is struck; MaxStrikes strikes refuse it. A request that is
// not repeatable is never run again: its claim answers when its caller repeats it.

const (
	// MaxStrikes is the number of strikes from which on a request is refused. The
	// first can be a target that failed by itself; two by one request are not chance.
	MaxStrikes = 2
	// StrikeLife is how long strikes count: long enough to outlast a caller's
	// retries, short enough that a mended engine serves the request again the same day.
	StrikeLife = time.Hour
)

// Fingerprint names the content of a request inside its workspace.
type Fingerprint [sha256.Size]byte

// FingerprintOf digests what decides how a target runs the request. Parts are framed
// by their length, so that no two lists of parts give the same digest.
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

// Strikes is what is recorded about one request.
type Strikes struct {
	Count   int
	Expires time.Time
}

// CheckStrikes refuses a request with too many strikes: fault.Quarantined.
func CheckStrikes(s Strikes, now time.Time) error {
	if s.Count < MaxStrikes || !now.Before(s.Expires) {
		return nil
	}
	return fault.New(fault.Quarantined, "the request crashed its targets %d times; refused for %v", s.Count, s.Expires.Sub(now).Round(time.Second))
}

// Suspect reports whether a request with these strikes must run alone: it crashed a
// target once, and its next crash must not take neighbours with it.
func Suspect(s Strikes, now time.Time) bool {
	return s.Count > 0 && now.Before(s.Expires)
}

// Crash says what follows for a request that ran when its target crashed.
type Crash struct {
	Strike bool // record a strike
	Alone  bool // run it again, alone in its target
}

// AfterCrash decides what follows for a request. Neighbours is the number of others
// that ran with it.
func AfterCrash(neighbours int, repeatable bool) Crash {
	return Crash{Strike: neighbours == 0, Alone: repeatable}
}
