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
)

// proofHeader carries "unix-ms.nonce.mac". The secret itself never travels, so
// that a listener on the path learns nothing that stays valid for long.
const proofHeader = "Cowslip-Proof"

// proofWindow bounds the age of a proof. Two minutes is above the clock
// difference of hosts that keep time at all.
const proofWindow = 2 * time.Minute

// minSecretBytes keeps an empty or trivial file from becoming the fleet's secret.
const minSecretBytes = 16

// Secret proves a process of this fleet to another.
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
		return nil, fault.New(fault.InvalidRequest, "secret file %s holds %d bytes, at least %d are needed", path, len(key), minSecretBytes)
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

// Verify reports whether an incoming request carries a fresh proof.
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
	return age <= proofWindow && hmac.Equal([]byte(want), []byte(parts[2]))
}

// Require passes on only requests that carry a proof.
func (s *Secret) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.Verify(r) {
			http.Error(w, "no valid proof of identity", http.StatusUnauthorized)
			return
		}
		r.Header.Del(proofHeader)
		next.ServeHTTP(w, r)
	})
}

func (s *Secret) mac(parts ...string) string {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(strings.Join(parts, "\n")))
	return hex.EncodeToString(h.Sum(nil))
}
