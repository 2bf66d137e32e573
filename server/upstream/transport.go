package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// CheckHeads returns a client transport for HTTP/1.1 that rejects the same heads of responses as a Pool, and
// bounds them by MaxHeadBytes. It takes ownership of t, which needs a DialContext.
func CheckHeads(t *http.Transport) http.RoundTripper {
	open := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: c}, nil
	}
	t.MaxResponseHeaderBytes = MaxHeadBytes
	return checkingTransport{t}
}

type checkingTransport struct{ next *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.beginHead()
		}
	}}
	resp, err := t.next.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	resp.Body = checkedBody{resp.Body, resp}
	return resp, nil
}

// CloseIdleConnections closes the connections without a request; http.Client calls it.
func (t checkingTransport) CloseIdleConnections() { t.next.CloseIdleConnections() }

// checkedConn checks the head of the response to each request.
type checkedConn struct {
	net.Conn

	mu    sync.Mutex // guards heads: a read waits for the response before the request is sent; taken alone
	heads headChecker
}

// beginHead expects the head of a response next.
func (c *checkedConn) beginHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads.begin()
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if invalid := c.heads.check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}
