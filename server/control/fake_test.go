package control_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/control"
	"cowsliptiller/server/node"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
)

// group is a replicated log in memory: committed means applied at every member
// that is not cut off; a member that comes back catches up at once.
type group struct {
	mu      sync.Mutex
	entries []*coordpb.Command
	members map[uint64]*member
	leader  uint64
	term    uint64
	changed chan struct{}
	side    map[string]string // by address or host; two on different sides do not reach each other
	calls   map[string]rpc.Control
	slow    *rand.Rand             // delays and loses calls between control processes; nil: none
	after   func(*coordpb.Command) // called with the lock held after each commit; nil: nothing
}

type member struct {
	group   *group
	id      uint64
	machine *control.Machine
	applied int
}

func newGroup() *group {
	return &group{
		members: map[uint64]*member{}, changed: make(chan struct{}), side: map[string]string{},
		calls: map[string]rpc.Control{}, term: 1, leader: 1,
	}
}

func address(id uint64) string { return fmt.Sprintf("127.0.0.1:%d", id) }

// start adds a member with a role of its own.
func (g *group) start(t testing.TB, id uint64, change func(*control.Config)) *control.Role {
	m := &member{group: g, id: id, machine: control.NewMachine()}
	o := &settings.Options{}
	o.Control.Freshness = freshness
	o.Control.OperatorAddress = "127.0.0.1:0"
	config := control.Config{
		Settings: o, Log: m, Machine: m.machine, Token: operatorToken,
		Dial: func(a string) rpc.Control { return &link{group: g, from: address(id), to: a} },
	}
	if change != nil {
		change(&config)
	}
	role := control.New(config)
	g.mu.Lock()
	g.members[id] = m
	g.calls[address(id)] = role
	m.catchUp()
	g.mu.Unlock()
	role.StartForTest()
	t.Cleanup(func() { _ = role.Close() })
	return role
}

// put places addresses and hosts on a side of a partition; the quorum is on "".
func (g *group) put(side string, names ...string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range names {
		g.side[name] = side
	}
	for _, m := range g.members {
		m.catchUp()
	}
}

// elect makes a member the leader of a new term.
func (g *group) elect(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = id
	g.term++
	close(g.changed)
	g.changed = make(chan struct{})
}

// catchUp applies what is committed. The caller holds the group's lock.
func (m *member) catchUp() (last *coordpb.Result) {
	if m.group.side[address(m.id)] != "" {
		return nil
	}
	for ; m.applied < len(m.group.entries); m.applied++ {
		last = m.machine.Apply(m.group.entries[m.applied])
	}
	return last
}

// able is nil when the member leads and reaches a quorum.
func (m *member) able() error {
	if m.group.leader != m.id {
		return fault.New(fault.NotLeader, "member %d does not lead", m.id)
	}
	if m.group.side[address(m.id)] != "" {
		return fault.New(fault.NoQuorum, "member %d is cut off", m.id)
	}
	return nil
}

func (m *member) Propose(_ context.Context, c *coordpb.Command) (*coordpb.Result, error) {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	if err := m.able(); err != nil {
		return nil, err
	}
	m.group.entries = append(m.group.entries, c)
	for _, other := range m.group.members {
		if other != m {
			other.catchUp()
		}
	}
	r := m.catchUp()
	if m.group.after != nil {
		m.group.after(c)
	}
	return r, nil
}

func (m *member) Barrier(context.Context) error {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.able()
}

func (m *member) Status() node.Status {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	st := node.Status{
		ID: m.id, Term: m.group.term, Leader: m.group.leader, LeaderAddress: address(m.group.leader),
		Leading: m.able() == nil, Applied: uint64(m.applied), Commit: uint64(len(m.group.entries)),
	}
	for _, other := range m.group.members {
		st.Members = append(st.Members, &coordpb.Member{Id: other.id, Address: address(other.id)})
	}
	return st
}

func (m *member) LeaderChanged() <-chan struct{} {
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return m.group.changed
}

func (m *member) AddMember(context.Context, *coordpb.Member) error { return m.able() }

func (m *member) RemoveMember(context.Context, uint64) error { return m.able() }

func (m *member) Deliver([]*coordpb.Message) {}

// link is a client of the control process at an address. A call across a cut gets
// no answer until its context ends, as on a silent partition.
type link struct {
	rpc.Control
	group    *group
	from, to string
}

func (l *link) reach(ctx context.Context) (rpc.Control, error) {
	l.group.mu.Lock()
	silent := l.group.side[l.from] != l.group.side[l.to]
	to := l.group.calls[l.to]
	l.group.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if to == nil {
		return nil, fault.New(fault.Unavailable, "connection refused")
	}
	return to, nil
}

func (l *link) Sync(ctx context.Context, r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return call(ctx, l, r, rpc.Control.Sync)
}

func (l *link) Forward(ctx context.Context, r *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	return call(ctx, l, r, rpc.Control.Forward)
}

func (l *link) Read(ctx context.Context, r *rpc.ReadRequest) (*rpc.ReadResponse, error) {
	return call(ctx, l, r, rpc.Control.Read)
}

func (l *link) Subscribers(ctx context.Context, r *rpc.SubscribersRequest) (*rpc.SubscribersResponse, error) {
	return call(ctx, l, r, rpc.Control.Subscribers)
}

func (l *link) Draw(ctx context.Context, r *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	return call(ctx, l, r, rpc.Control.Draw)
}

func (l *link) Demand(ctx context.Context, r *rpc.DemandRequest) (*rpc.DemandResponse, error) {
	return call(ctx, l, r, rpc.Control.Demand)
}

func (l *link) Observe(ctx context.Context, r *rpc.ObserveRequest) (*rpc.ObserveResponse, error) {
	return call(ctx, l, r, rpc.Control.Observe)
}

// delay returns how long a call takes on its way and whether its answer is lost.
func (g *group) delay() (way time.Duration, lost bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slow == nil {
		return 0, false
	}
	return time.Duration(g.slow.IntN(30)) * time.Millisecond, g.slow.IntN(8) == 0
}

func sortedNames[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func call[Q, R any](ctx context.Context, l *link, q Q, f func(rpc.Control, context.Context, Q) (R, error)) (R, error) {
	var none R
	to, err := l.reach(ctx)
	if err != nil {
		return none, err
	}
	way, lost := l.group.delay()
	time.Sleep(way)
	resp, err := f(to, ctx, q)
	if lost {
		return none, fault.New(fault.Unavailable, "the answer was lost")
	}
	return resp, err
}

// follow runs a follower until the test ends.
func (g *group) follow(t testing.TB, host string, addresses ...string) *view.Follower {
	f := view.NewFollower(view.FollowerOptions{
		Caller:    &rpc.Caller{Host: host, Incarnation: host + "-1", Role: "entry", Address: "127.0.0.1:9", FailureDomain: "a"},
		Addresses: addresses,
		Dial:      func(a string) rpc.Control { return &link{group: g, from: host, to: a} },
		Random:    rand.New(rand.NewPCG(1, uint64(len(host)))),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = f.Run(ctx) })
	t.Cleanup(func() { cancel(); done.Wait() })
	return f
}
