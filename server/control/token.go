package control

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"os"
	"strings"

	"cowsliptiller/coord/fault"
)

// leastToken keeps an empty or trivial file from opening the operators' API.
const leastToken = 16

// readToken reads the operators' token from a file that only its owner may read.
func readToken(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", fault.New(fault.InvalidRequest, "--operator-token-file: %v", err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return "", fault.New(fault.InvalidRequest, "--operator-token-file: %s is open to others: mode %o, allowed is 0600", path, info.Mode().Perm())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fault.New(fault.InvalidRequest, "--operator-token-file: %v", err)
	}
	token := strings.TrimSpace(string(text))
	if len(token) < leastToken {
		return "", fault.New(fault.InvalidRequest, "--operator-token-file: %s holds %d bytes, at least %d are needed", path, len(token), leastToken)
	}
	return token, nil
}

// authorized compares the request's token with the operators' in a time that does
// not depend on where they differ.
func authorized(r *http.Request, token string) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	a, b := sha256.Sum256([]byte(given)), sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(a[:], b[:]) == 1
}
