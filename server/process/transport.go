package process

import (
	"net"
	"net/http"
	"time"

	"cowsliptiller/server/dial"
)

// Bounds on connections between our processes. A connection that something on
// the path has forgotten gives no error: writes go nowhere and no reply comes.
// HTTP/2 pings find it within pingIdle + pingWait and the next request opens a
// new connection, while requests on the dead one fail at once.
const (
	dialTimeout = time.Second
	pingIdle    = 500 * time.Millisecond
	pingWait    = 500 * time.Millisecond
	idleTimeout = 30 * time.Second
)

// SlowestLink is the least that a link between our processes is taken to carry, in bytes a
// second: the narrowest in use has 10 Mbit/s.
const SlowestLink = 1 << 20

// maxInternalHeader bounds the header of an internal request.
const maxInternalHeader = 64 << 10

// SilenceBound is the longest time that a request between our processes waits
// on a connection that has gone silent.
const SilenceBound = pingIdle + pingWait

// Client returns an HTTP client for calls to our own processes. It signs each
// request, and follows no redirect.
func Client(s *Secret) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     dial.Again((&net.Dialer{}).DialContext, dialTimeout),
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingWait},
	}
	return &http.Client{
		Transport:     signer{secret: s, next: transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// InternalServer returns the server of the internal listener.
func InternalServer(s *Secret, mux http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.Require(mux),
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxInternalHeader,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingWait},
	}
}

type signer struct {
	secret *Secret
	next   http.RoundTripper
}

// RoundTrip implements http.RoundTripper on a copy of the request.
func (s signer) RoundTrip(r *http.Request) (*http.Response, error) {
	signed := r.Clone(r.Context())
	s.secret.Sign(signed)
	return s.next.RoundTrip(signed)
}
