package soak

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Callers that read slowly: an entry host must not hold others up, must not take the caller for gone,
// and must forward the whole answer.
const (
	slowClientCount = 2
	// headerPadding has the bytes by which a target makes each event longer. The whole stream must be
	// longer than the socket buffers between target and caller, or the entry host notices nothing.
	headerPadding = "Padding"
	slowPadding   = 32 << 10
	// slowReceiveBuffer is the buffer of the caller's socket; 4 KiB held a stream up for longer than
	// its route's limit of 4 s. The caller reads slowChunk bytes each slowPause: 12 events take 1.9 s.
	slowReceiveBuffer = 32 << 10
	slowChunk         = 8 << 10
	slowPause         = 40 * time.Millisecond
)

// slowReads counts the streams that callers read slowly.
type slowReads struct{ sent, complete int }

// newSlowClient returns a client with a small receive buffer.
func newSlowClient() *http.Client {
	dialer := &net.Dialer{}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return c, c.(*net.TCPConn).SetReadBuffer(slowReceiveBuffer)
		},
	}}
}

// runSlow sends streams that are read slowly, until the context ends.
func (c *clients) runSlow(ctx context.Context, seed uint64, n int) {
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(1000+i)))
		c.wg.Go(func() {
			for ctx.Err() == nil {
				s := c.newRequest([]string{"stream", "once"}[r.IntN(2)], r)
				s.padding = slowPadding
				c.sendAndResume(ctx, s, r)
				sleep(ctx, time.Duration(r.IntN(100))*time.Millisecond)
			}
		})
	}
}

// readBody reads a response as fast as the request's caller reads.
func (s *sentRequest) readBody(body io.Reader) ([]byte, error) {
	if s.padding == 0 {
		return io.ReadAll(body)
	}
	var out bytes.Buffer
	for {
		switch _, err := io.CopyN(&out, body, slowChunk); err {
		case nil:
			<-time.After(slowPause)
		case io.EOF:
			return out.Bytes(), nil
		default:
			return out.Bytes(), err
		}
	}
}

// recordSlow counts a request if its caller reads slowly.
func (h *history) recordSlow(s *sentRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.padding == 0 || s.status != http.StatusOK {
		return
	}
	h.slow.sent++
	if s.complete {
		h.slow.complete++
	}
}

func (h *history) slowComplete() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.slow.complete
}
