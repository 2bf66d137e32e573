package discovery

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cowsliptiller/server/process"
	"cowsliptiller/server/process/processtest"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// BenchmarkAnnounce measures the bytes on the wire and the time of one announcement of seven
// members.
func BenchmarkAnnounce(b *testing.B) {
	var bytes atomic.Int64
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	secret := process.NewSecret(make([]byte, 32), time.Now)
	directory := NewDirectory(false, view.NewFollower(view.FollowerOptions{}), func() Group { return Group{} }, time.Now)
	mux := http.NewServeMux()
	mux.Handle(rpc.DirectoryPathPrefix, rpc.NewDirectoryServer(directory))
	server := process.InternalServer(secret, mux)
	go func() { _ = server.Serve(processtest.CountingListener{Listener: l, Bytes: &bytes}) }()
	defer server.Close()
	client := rpc.NewDirectoryProtobufClient("http://"+l.Addr().String(), process.Client(secret))
	request := &rpc.AnnounceRequest{Address: "10.1.0.14:7600", Answering: []string{"10.1.0.14:7600"}}
	for range 7 {
		request.ControlAddresses = append(request.ControlAddresses, "10.1.0.14:7600")
	}
	for b.Loop() {
		if _, err := client.Announce(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-bytes/op")
}
