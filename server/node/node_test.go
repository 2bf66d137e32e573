package node_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/node"
	"cowsliptiller/server/process"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "node")
}

const (
	patience = 60 * time.Second // generous: the machine may be busy
	testTick = 20 * time.Millisecond
)

// register is the state machine of the tests: the actors in order.
type register struct {
	mu        sync.Mutex
	actors    []string
	snapshots int // how many were taken
}

func (r *register) Apply(c *coordpb.Command) *coordpb.Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.actors = append(r.actors, c.Actor)
	return &coordpb.Result{Revision: uint64(len(r.actors)), Message: c.Actor}
}

func (r *register) Snapshot() ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshots++
	var data []byte
	for _, a := range r.actors {
		data = append(append(data, a...), '\n')
	}
	return data, nil
}

func (r *register) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.actors = nil
	for start, i := 0, 0; i < len(data); i++ {
		if data[i] == '\n' {
			r.actors = append(r.actors, string(data[start:i]))
			start = i + 1
		}
	}
	return nil
}

func (r *register) all() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.actors...)
}

// host is one control host on loopback: an address that stays, and a node that
// can be stopped, started again, and cut off.
type host struct {
	member  *coordpb.Member
	folder  string
	machine *register
	node    *node.Node
	server  *http.Server
	secret  *process.Secret
	fatal   chan error
	bytes   atomic.Int64 // over connections to this host

	mu  sync.Mutex // guards what follows
	in  http.Handler
	cut bool
}

// ServeHTTP passes calls on to the node that runs now.
func (h *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	in, cut := h.in, h.cut
	h.mu.Unlock()
	if in == nil || cut {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	in.ServeHTTP(w, r)
}

// RoundTrip refuses the host's own calls while it is cut off.
type cutTransport struct {
	h    *host
	next http.RoundTripper
}

func (c cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.h.mu.Lock()
	cut := c.h.cut
	c.h.mu.Unlock()
	if cut {
		return nil, fault.New(fault.Unavailable, "cut off")
	}
	return c.next.RoundTrip(r)
}

func (h *host) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = cut
}

func (h *host) setHandler(in http.Handler) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.in = in
}

func (h *host) client() *http.Client {
	c := process.Client(h.secret)
	c.Transport = cutTransport{h: h, next: c.Transport}
	return c
}

func (h *host) config(first []*coordpb.Member) node.Config {
	return node.Config{
		ID: h.member.Id, Members: first, Folder: h.folder, Tick: testTick, SnapshotEvery: 100,
		CommitTimeout: patience, Machine: h.machine, NewClient: h.client,
		Fatal: func(err error) { h.fatal <- err },
	}
}

func (h *host) start(c node.Config) { Expect(h.tryStart(c)).To(Succeed()) }

func (h *host) tryStart(c node.Config) error {
	n, err := node.Open(c)
	if err != nil {
		return err
	}
	h.node = n
	prefix, handler := n.Handler()
	mux := http.NewServeMux()
	mux.Handle(prefix, handler)
	h.setHandler(mux)
	return nil
}

func (h *host) stop() {
	h.setHandler(nil)
	if h.node != nil {
		_ = h.node.Close()
		h.node = nil
	}
}

func command(i int) *coordpb.Command { return &coordpb.Command{Actor: strconv.Itoa(i)} }

// group is a few hosts on loopback.
type group struct {
	hosts []*host
	first []*coordpb.Member
}

// newGroup starts a group that ends with the running spec.
func newGroup(count int) *group {
	g := startGroup(count)
	DeferCleanup(g.close)
	return g
}

func (g *group) close() {
	for _, h := range g.hosts {
		h.close()
	}
}

func startGroup(count int) *group {
	g := &group{}
	for i := 1; i <= count; i++ {
		h := newHost(uint64(i))
		g.hosts = append(g.hosts, h)
		g.first = append(g.first, h.member)
	}
	for _, h := range g.hosts {
		h.start(h.config(g.first))
	}
	return g
}

func (g *group) others(h *host) []*host {
	var out []*host
	for _, o := range g.hosts {
		if o != h {
			out = append(out, o)
		}
	}
	return out
}

// leader waits for a host among these that leads.
func leader(among ...*host) *host {
	var found *host
	Eventually(func() *host {
		for _, h := range among {
			if h.node != nil && h.node.Status().Leading {
				found = h
				return h
			}
		}
		return nil
	}).WithTimeout(patience).ShouldNot(BeNil())
	return found
}

// propose commits at whichever host leads.
func (g *group) propose(i int, among ...*host) *coordpb.Result {
	if len(among) == 0 {
		among = g.hosts
	}
	for {
		result, err := leader(among...).node.Propose(context.Background(), command(i))
		if err == nil {
			return result
		}
		Expect(fault.Is(err, fault.NotLeader)).To(BeTrue(), err.Error())
	}
}
