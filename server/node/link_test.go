package node_test

import (
	"context"
	"encoding/hex"
	"math/rand"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/node"
)

// narrowLink passes each call on after the time that its body takes at a rate. Calls on
// other connections do not wait for it.
type narrowLink struct {
	bytesPerSecond int64
	next           http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (l narrowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	passed := time.After(time.Duration(r.ContentLength) * time.Second / time.Duration(l.bytesPerSecond))
	select {
	case <-passed:
		return l.next.RoundTrip(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// randomText returns text that cannot be packed into less than so many bytes.
func randomText(bytes int) string {
	text := make([]byte, bytes)
	_, _ = rand.New(rand.NewSource(1)).Read(text)
	return hex.EncodeToString(text)
}

// electionTime is above an election timeout of the members here, and its spread.
const electionTime = 20 * testTick

var _ = Describe("a group behind narrow links", func() {
	// Guards against a leader that loses its followers while it sends them a large entry.
	It("keeps its leader while an entry is longer on its way than an election takes", func() {
		const entryBytes = 1 << 20
		g := newGroup(3)
		leader(g.hosts...)
		for _, h := range g.hosts {
			h.stop()
			c := h.config(g.first)
			c.NewClient = func() *http.Client {
				client := h.client()
				client.Transport = narrowLink{bytesPerSecond: int64(entryBytes * time.Second / (2 * electionTime)), next: client.Transport}
				return client
			}
			h.start(c)
		}
		l := leader(g.hosts...)
		term := l.node.Status().Term
		large := &coordpb.Command{Actor: randomText(entryBytes)}
		_, err := l.node.Propose(context.Background(), large)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.node.Status().Term).To(Equal(term))
		Expect(l.node.Status().Leading).To(BeTrue())
		Eventually(func() []node.Status {
			var behind []node.Status
			for _, h := range g.others(l) {
				if s := h.node.Status(); s.Applied < l.node.Status().Applied {
					behind = append(behind, s)
				}
			}
			return behind
		}).WithTimeout(patience).Should(BeEmpty())
	})
})
