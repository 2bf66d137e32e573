package process

import (
	"net"
	"net/http"
	"time"

	"cowsliptiller/server/dial"
	"cowsliptiller/server/inbound"
)

// Timeouts of connections between processes of the fleet. A connection whose state was
// dropped by a device on the path returns no error: writes are lost and no reply arrives.
// HTTP/2 pings detect it within pingAfterIdle + pingTimeout; requests on it then fail at
// once, those that have not arrived are withdrawn, and the next request opens a new connection.
const (
	dialTimeout   = time.Second
	pingAfterIdle = 500 * time.Millisecond
	pingTimeout   = 500 * time.Millisecond
	// answerPingTimeout is the pingTimeout of connections that carry answers to callers. A host that
	// pauses for a second or so continues its answers; closing the connection would end them.
	answerPingTimeout = 1500 * time.Millisecond
	idleTimeout       = 30 * time.Second
)

// MinLinkBytesPerSecond is the assumed minimum bandwidth of a link between processes of the fleet,
// in bytes per second. The slowest link in use has 10 Mbit/s.
const MinLinkBytesPerSecond = 1 << 20

// maxInternalHeaderBytes is the maximum size of the headers of an internal request.
const maxInternalHeaderBytes = 64 << 10

// maxAnswerBytes bounds the answer to a call between processes: it is read into memory, and the process at the
// address may be another one. The largest answers carry an operators' document of 32 MiB.
const maxAnswerBytes = 64 << 20

// DeadConnectionTimeout is the maximum time that a request of an AnswerClient waits on a dead
// connection.
const DeadConnectionTimeout = pingAfterIdle + answerPingTimeout

// Client returns an HTTP client for calls to processes of the fleet. It signs each
// request and does not follow redirects. Reading more than maxAnswerBytes of a response fails.
func Client(s *Secret) *http.Client { return newClient(s, pingTimeout, maxAnswerBytes) }

// AnswerClient returns a Client for attempts, whose answers go to callers and may have any length.
func AnswerClient(s *Secret) *http.Client { return newClient(s, answerPingTimeout, 0) }

func newClient(s *Secret, pingTimeout time.Duration, maxAnswer int64) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     dial.ResettingOnClose(dial.WithRetry((&net.Dialer{}).DialContext, dialTimeout)),
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
	}
	return &http.Client{
		Transport:     signingTransport{secret: s, next: transport, maxAnswer: maxAnswer},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// InternalServer returns the HTTP server of the internal listener. It requires a valid
// proof on each request.
func InternalServer(s *Secret, mux http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.Require(mux),
		Protocols:         protocols,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * idleTimeout,
		MaxHeaderBytes:    maxInternalHeaderBytes,
		ConnContext:       inbound.LimitedContext,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: answerPingTimeout},
	}
}

// signingTransport adds a proof to each request.
type signingTransport struct {
	secret    *Secret
	next      http.RoundTripper
	maxAnswer int64 // in bytes; 0: no limit
}

// RoundTrip implements http.RoundTripper. It signs a copy of the request. net/http does not send that again once its
// body was read: the stream of the first attempt may still read it, which is a data race there.
func (s signingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	signed := r.Clone(r.Context())
	signed.GetBody = nil
	s.secret.Sign(signed)
	resp, err := s.next.RoundTrip(signed)
	if err == nil && s.maxAnswer > 0 {
		resp.Body = http.MaxBytesReader(nil, resp.Body, s.maxAnswer)
	}
	return resp, err
}

// CloseIdleConnections closes the connections without a request; http.Client calls it.
func (s signingTransport) CloseIdleConnections() {
	if t, ok := s.next.(interface{ CloseIdleConnections() }); ok {
		t.CloseIdleConnections()
	}
}
