package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/platform"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/rpc"
)

// encodingPeer is another host that gets only what a message can carry.
type encodingPeer struct{ rpc.Streams }

func (p encodingPeer) Record(ctx context.Context, r *rpc.RecordOriginsRequest) (*rpc.RecordOriginsResponse, error) {
	if _, err := proto.Marshal(r); err != nil {
		return nil, err
	}
	return p.Streams.Record(ctx, r)
}

var _ = Describe("a caller's header that is no UTF-8", func() {
	const notUTF8 = "x\xff"

	// Guards against one caller's id that keeps the origins of all streams from being sent.
	It("does not hide the origins of other streams", func() {
		var records atomic.Int64
		f := newFleetWith(func(c *gateway.Config) {
			peer := c.Peer
			c.Peer = func(address string) rpc.Streams { return encodingPeer{countingPeer{peer(address), &records}} }
		}, "models", false, streams(true), streams(true))
		f.wire.ensure = refuseLoads
		f.setVersion("i-2", "v2")
		hosts := f.addHosts("e2")
		f.begin(notUTF8)
		f.begin("b-1")
		Eventually(records.Load, 5*time.Second).Should(BeNumerically(">", 0))
		Expect(f.gateway.Close()).To(Succeed())
		r := f.resumed("c-1", "b-1", 4)
		r.URL.Host = hosts[0]
		Expect(send(r).summary()).To(HavePrefix("200"))
	})

	// Guards against one caller's model that keeps this host from following the table of targets.
	It("does not stop the polls of the table", func() {
		f := newFleet("models", streams(false))
		f.wire.ensure = refuseLoads
		r := f.request(http.MethodPost, "/stream/x", platform.HeaderModel, notUTF8)
		r.Header.Set(platform.HeaderRequestID, notUTF8)
		Expect(send(r).status).To(Equal(http.StatusServiceUnavailable))
		f.wire.awaitPolls()
		f.wire.mu.Lock()
		defer f.wire.mu.Unlock()
		Expect(f.wire.unsendable).To(Succeed())
	})
})
