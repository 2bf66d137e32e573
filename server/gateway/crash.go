package gateway

import (
	"context"
	"encoding/hex"

	"cowsliptiller/coord/request"
	"cowsliptiller/server/upstream"
)

// loggedFingerprintBytes is how much of a fingerprint is logged: enough to find the attempts of
// one request among all of a day.
const loggedFingerprintBytes = 8

// fingerprint identifies the request by its content, within its workspace. A caller's retry has
// the same one.
func (c *call) fingerprint() request.Fingerprint {
	return request.FingerprintOf(c.record.Workspace, c.http.Host, c.http.RequestURI, c.body)
}

// targetEnded reports whether a target's process has ended, after a connection to it broke.
func targetEnded(ctx context.Context, p destination) bool {
	return upstream.Probe(context.WithoutCancel(ctx), p.Address) == upstream.Ended
}

// logFingerprint returns the part of a fingerprint that is logged.
func logFingerprint(f request.Fingerprint) string {
	return hex.EncodeToString(f[:loggedFingerprintBytes])
}
