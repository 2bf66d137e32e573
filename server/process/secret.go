package process

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/intake"
)

// proofHeader is the request header that carries "unix-ms.nonce.mac". The secret
// itself is never sent, so that an eavesdropper obtains only a short-lived proof.
const proofHeader = "Cowslip-Proof"

// maxProofAge is the largest accepted difference between the time in a proof and the
// local clock. Two minutes exceeds the clock skew of hosts that synchronize their clocks.
const maxProofAge = 2 * time.Minute

// minSecretBytes rejects an empty or trivially short secret file.
const minSecretBytes = 16

// Secret authenticates requests between the processes of a fleet with an HMAC over
// method, path, time and nonce.
type Secret struct {
	key []byte
	now func() time.Time
}

// NewSecret returns a secret with the given key and clock.
func NewSecret(key []byte, now func() time.Time) *Secret {
	return &Secret{key: key, now: now}
}

// ReadSecret reads the secret from a file that only its owner may read.
func ReadSecret(path string) (*Secret, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "secret file: %v", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return nil, fault.New(fault.InvalidRequest, "secret file %s is open to others: mode %o, allowed is 0600", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "secret file: %v", err)
	}
	key := strings.TrimSpace(string(text))
	if len(key) < minSecretBytes {
		return nil, fault.New(fault.InvalidRequest, "secret file %s has %d bytes, need at least %d", path, len(key), minSecretBytes)
	}
	return NewSecret([]byte(key), time.Now), nil
}

// Sign adds a proof to an outgoing request.
func (s *Secret) Sign(r *http.Request) {
	var nonce [8]byte
	_, _ = rand.Read(nonce[:])
	ms := strconv.FormatInt(s.now().UnixMilli(), 10)
	n := hex.EncodeToString(nonce[:])
	r.Header.Set(proofHeader, ms+"."+n+"."+s.mac(r.Method, r.URL.Path, ms, n))
}

// Verify reports whether an incoming request carries a valid proof whose time differs
// from the local clock by at most maxProofAge. Nonces are not stored, so a proof can be
// replayed during that time.
func (s *Secret) Verify(r *http.Request) bool {
	parts := strings.Split(r.Header.Get(proofHeader), ".")
	if len(parts) != 3 {
		return false
	}
	ms, err := strconv.ParseInt(parts[0], 10, 64)
	if err != nil {
		return false
	}
	age := s.now().Sub(time.UnixMilli(ms)).Abs()
	want := s.mac(r.Method, r.URL.Path, parts[0], parts[1])
	return age <= maxProofAge && hmac.Equal([]byte(want), []byte(parts[2]))
}

// Require returns a handler that passes requests with a valid proof to next, without
// the proof header, and answers others with status 401.
func (s *Secret) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.Verify(r) {
			intake.Discard(w, r)
			http.Error(w, "no valid proof of identity", http.StatusUnauthorized)
			return
		}
		inbound.Exempt(r.Context())
		r.Header.Del(proofHeader)
		next.ServeHTTP(w, r)
	})
}

func (s *Secret) mac(parts ...string) string {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(strings.Join(parts, "\n")))
	return hex.EncodeToString(h.Sum(nil))
}
