package control_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// BenchmarkIdlePoll measures what a follower costs while nothing changes: bytes on
// its connection, in both directions, for each poll, and polls a second.
func BenchmarkIdlePoll(b *testing.B) {
	c := newCluster(b, "")
	address, bytes := counted(b, c.addresses()[0])
	f := view.NewFollower(view.FollowerOptions{
		Caller:    &rpc.Caller{Host: "entry-1", Incarnation: "0b0f8f5c-5c9e-4b8e-9d35-3c4f3a1f7a10", Role: "entry", Address: "127.0.0.1:9", FailureDomain: "gauteng-a"},
		Addresses: []string{address}, Client: process.Client(c.secret),
	})
	for f.Poll(background) != nil || f.Current().Revision == 0 {
	}
	start, before := time.Now(), bytes.Load()
	for b.Loop() {
		if err := f.Poll(background); err != nil {
			b.Fatal(err)
		}
	}
	polls := float64(b.N)
	b.ReportMetric(float64(bytes.Load()-before)/polls, "bytes/poll")
	b.ReportMetric(float64(bytes.Load()-before)/time.Since(start).Seconds(), "bytes/s")
}

// counted relays connections to an address and counts their bytes.
func counted(b *testing.B, to string) (address string, bytes *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	bytes = &atomic.Int64{}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			go pass(in, out, bytes)
			go pass(out, in, bytes)
		}
	}()
	return l.Addr().String(), bytes
}

func pass(from io.Reader, to io.Writer, bytes *atomic.Int64) {
	_, _ = io.Copy(to, io.TeeReader(from, counter{bytes}))
}

type counter struct{ n *atomic.Int64 }

// Write implements io.Writer.
func (c counter) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return len(p), nil
}
