package node

import (
	"maps"
	"net/http"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
)

// Bounds on what waits for one peer. A peer that takes nothing costs this much
// memory and no more; what is dropped is sent again by the protocol.
const (
	maxQueuedMessages = 1024
	maxQueuedBytes    = 16 << 20
	// maxCallBytes is what one call carries, or one message where that is larger. Its
	// heartbeats wait for the rest: at 100 Mbit/s for 20 ms.
	maxCallBytes = 256 << 10
)

// Transport sends messages to the other members. Each peer has a queue and a
// goroutine, so that a silent one holds up nobody else.
type Transport struct {
	node *Node

	mu     sync.Mutex // guards what follows; taken before no other lock
	peers  map[uint64]*peer
	closed bool
}

func newTransport(n *Node) *Transport { return &Transport{node: n, peers: map[uint64]*peer{}} }

// send queues messages. It never waits.
func (t *Transport) send(messages []*coordpb.Message) {
	for _, m := range messages {
		if p := t.peer(m.To); p != nil {
			p.push(m)
		}
	}
}

func (t *Transport) peer(id uint64) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil
	}
	if p := t.peers[id]; p != nil {
		return p
	}
	p := &peer{id: id, node: t.node, wake: make(chan struct{}, 1)}
	t.peers[id] = p
	t.node.running.Add(1)
	go p.run()
	return p
}

// queued returns the bytes that wait for all peers.
func (t *Transport) queued() int {
	t.mu.Lock()
	peers := slices.Collect(maps.Values(t.peers))
	t.mu.Unlock()
	bytes := 0
	for _, p := range peers {
		bytes += p.queued()
	}
	return bytes
}

func (t *Transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
}

// peer is the way to one other member.
type peer struct {
	id   uint64
	node *Node
	wake chan struct{}
	// Owned by run.
	client  *http.Client
	refusal string // last one logged

	mu    sync.Mutex // guards queue and bytes; taken alone
	queue []*coordpb.Message
	bytes int
}

// push queues a message and drops the oldest ones over the bounds.
func (p *peer) push(m *coordpb.Message) {
	p.mu.Lock()
	p.queue = append(p.queue, m)
	p.bytes += proto.Size(m)
	for len(p.queue) > 1 && (len(p.queue) > maxQueuedMessages || p.bytes > maxQueuedBytes) {
		p.bytes -= proto.Size(p.queue[0])
		p.queue = p.queue[1:]
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *peer) queued() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// take returns the oldest messages, up to the size of one call.
func (p *peer) take() []*coordpb.Message {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, n := 0, 0
	for n < len(p.queue) && (n == 0 || size < maxCallBytes) {
		size += proto.Size(p.queue[n])
		n++
	}
	taken := p.queue[:n:n]
	p.queue = p.queue[n:]
	p.bytes -= size
	if len(p.queue) == 0 {
		p.queue = nil
	}
	return taken
}
