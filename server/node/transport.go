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
	// maxCallBytes is what one call carries, or one message where that is larger.
	maxCallBytes = 256 << 10
)

// Transport sends messages to the other members. Each peer has queues and goroutines of
// its own, so that a silent one holds up nobody else.
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
	p := newPeer(id, t.node)
	t.peers[id] = p
	for _, l := range p.lanes() {
		t.node.running.Add(1)
		go l.run()
	}
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

// peer is the way to one other member. Entries and chunks of snapshots go in a lane of
// their own, in order: heartbeats, votes and answers never wait until a large entry has
// arrived, which may take longer than an election timeout.
type peer struct {
	urgent, bulk *lane
}

func newPeer(id uint64, n *Node) *peer {
	return &peer{urgent: newLane(id, n), bulk: newLane(id, n)}
}

func (p *peer) lanes() []*lane { return []*lane{p.urgent, p.bulk} }

// push queues a message.
func (p *peer) push(m *coordpb.Message) {
	switch m.Kind {
	case coordpb.MessageKind_MESSAGE_KIND_APPEND, coordpb.MessageKind_MESSAGE_KIND_SNAPSHOT_CHUNK:
		p.bulk.push(m)
	default:
		p.urgent.push(m)
	}
}

// queued returns the bytes that wait in both lanes.
func (p *peer) queued() int { return p.urgent.queued() + p.bulk.queued() }

// lane is an ordered way to one other member over a connection of its own.
type lane struct {
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

func newLane(id uint64, n *Node) *lane {
	return &lane{id: id, node: n, wake: make(chan struct{}, 1)}
}

// push queues a message and drops the oldest ones over the bounds.
func (l *lane) push(m *coordpb.Message) {
	l.mu.Lock()
	l.queue = append(l.queue, m)
	l.bytes += proto.Size(m)
	for len(l.queue) > 1 && (len(l.queue) > maxQueuedMessages || l.bytes > maxQueuedBytes) {
		l.bytes -= proto.Size(l.queue[0])
		l.queue = l.queue[1:]
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *lane) queued() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// take returns the oldest messages, up to the size of one call.
func (l *lane) take() []*coordpb.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	size, n := 0, 0
	for n < len(l.queue) && (n == 0 || size < maxCallBytes) {
		size += proto.Size(l.queue[n])
		n++
	}
	taken := l.queue[:n:n]
	l.queue = l.queue[n:]
	l.bytes -= size
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return taken
}
