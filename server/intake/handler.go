package intake

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"cowsliptiller/coord/fault"
)

// HandlerOptions are the limits of a Handler.
type HandlerOptions struct {
	Limit   int64         // longest body, in bytes
	Timeout time.Duration // for the whole body
	// Large is the size, in bytes, from which on bodies are handled one after the other: decoding one takes
	// several times its size. 0: none are.
	Large int64
	// Refuse writes the response to a request whose body cannot be read, which has not run.
	Refuse func(w http.ResponseWriter, err error)
}

// Handler returns a handler that passes requests to next with their whole body in memory.
func (r *Reader) Handler(next http.Handler, o HandlerOptions) http.Handler {
	large := make(chan struct{}, 1) // has an element while a large body is handled
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		now := r.now()
		body, err := r.Read(w, req, Source{Arrived: now, Limit: o.Limit, Deadline: now.Add(o.Timeout)})
		if err != nil {
			o.Refuse(w, err)
			return
		}
		defer body.Release()
		if body == nil {
			next.ServeHTTP(w, req)
			return
		}
		if o.Large > 0 && int64(len(body.Bytes())) >= o.Large {
			select {
			case large <- struct{}{}:
				defer func() { <-large }()
			case <-req.Context().Done():
				o.Refuse(w, fault.WithRan(req.Context().Err(), fault.RanNo, true))
				return
			}
		}
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body.Bytes())), int64(len(body.Bytes()))
		next.ServeHTTP(w, req)
	})
}
