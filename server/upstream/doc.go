// Package upstream is an HTTP/1.1 client for targets with its own connection pool.
//
// It replaces the client of net/http, which retries a request on its own when a
// pooled connection turns out to be closed, so that a call could run twice, and
// which does not report whether any part of a request was written. This package
// writes a request at most once, and its errors report whether any of it was sent.
package upstream
