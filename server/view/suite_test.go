package view_test

import (
	"context"
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"pgregory.net/rapid"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

// init sets a fixed seed, so that test runs are reproducible.
func init() {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
}

// fakeControl is a control client that answers polls with a function of the test.
type fakeControl struct {
	rpc.Control
	answer func(*rpc.SyncRequest) (*rpc.SyncResponse, error)
}

func (s *fakeControl) Sync(_ context.Context, r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return s.answer(r)
}

// clock is a manually advanced clock.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func follower(c *clock, s *fakeControl) *view.Follower {
	return view.NewFollower(view.FollowerOptions{
		Caller: &rpc.Caller{Host: "e"}, Addresses: []string{"127.0.0.1:1"},
		Dial: func(string) rpc.Control { return s }, Now: c.Now,
	})
}

func respondingWith(v *coordpb.View, freshnessMs uint32) *fakeControl {
	return &fakeControl{answer: func(*rpc.SyncRequest) (*rpc.SyncResponse, error) {
		return &rpc.SyncResponse{View: v, FreshnessMs: freshnessMs}, nil
	}}
}

var background = context.Background()

// Guards against applying the view of a control host that lags behind: it could still
// contain a withdrawn key, and its lease would be for outdated state.
func TestALowerRevisionChangesAndRenewsNothing(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1000, 0)}
	s := respondingWith(&coordpb.View{Revision: 5}, 1000)
	f := follower(c, s)
	g.Expect(f.Poll(background)).To(Succeed())
	g.Expect(f.Current().Revision).To(Equal(uint64(5)))
	c.now = c.now.Add(999 * time.Millisecond)
	s.answer = respondingWith(&coordpb.View{Revision: 4}, 1000).answer
	g.Expect(fault.Is(f.Poll(background), fault.Stale)).To(BeTrue())
	g.Expect(f.Current().Revision).To(Equal(uint64(5)))
	g.Expect(f.Fresh(c.now)).To(BeTrue())
	g.Expect(f.Fresh(c.now.Add(time.Millisecond))).To(BeFalse())
}

// Guards against a lease that starts when the response arrives: a response that took three
// seconds, or was read by a process paused for as long, is already three seconds old.
func TestTheLeaseCountsFromSending(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1000, 0)}
	s := &fakeControl{}
	s.answer = func(*rpc.SyncRequest) (*rpc.SyncResponse, error) {
		c.now = c.now.Add(3 * time.Second)
		return &rpc.SyncResponse{View: &coordpb.View{Revision: 1}, FreshnessMs: 3000}, nil
	}
	f := follower(c, s)
	g.Expect(f.Fresh(c.now)).To(BeFalse())
	g.Expect(f.Poll(background)).To(Succeed())
	g.Expect(f.Current()).NotTo(BeNil())
	g.Expect(f.Fresh(c.now)).To(BeFalse())
}

// Guards against applying a delta from another revision than the follower's, which would
// miss rows.
func TestADeltaThatDoesNotFitIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := &clock{time.Unix(1000, 0)}
	s := respondingWith(&coordpb.View{Revision: 5}, 1000)
	f := follower(c, s)
	g.Expect(f.Poll(background)).To(Succeed())
	s.answer = respondingWith(&coordpb.View{Revision: 9, Since: 7}, 1000).answer
	g.Expect(f.Poll(background)).NotTo(Succeed())
	g.Expect(f.Current().Revision).To(Equal(uint64(5)))
	s.answer = respondingWith(&coordpb.View{Revision: 9, Questionnaire: []byte("x: [")}, 1000).answer
	g.Expect(f.Poll(background)).NotTo(Succeed())
	g.Expect(f.Current().Revision).To(Equal(uint64(5)))
}

func TestChangedIsClosedWhenTheSnapshotIsReplaced(t *testing.T) {
	g := NewWithT(t)
	s := respondingWith(&coordpb.View{Revision: 5}, 1000)
	f := follower(&clock{time.Unix(1000, 0)}, s)
	first := f.Changed()
	g.Expect(f.Poll(background)).To(Succeed())
	g.Expect(first).To(BeClosed())
	second := f.Changed()
	g.Expect(f.Poll(background)).To(Succeed())
	g.Expect(second).NotTo(BeClosed())
}

// register returns a command that registers a host.
func register(host, role, target string) *coordpb.Command {
	return &coordpb.Command{Change: &coordpb.Command_RegisterHost{RegisterHost: &coordpb.RegisterHost{
		Host: host, Role: role, Target: target, Incarnation: "i", FailureDomain: "a"}}}
}

func forget(host string) *coordpb.Command {
	return &coordpb.Command{Change: &coordpb.Command_ForgetHost{ForgetHost: &coordpb.ForgetHost{Host: host}}}
}

// Control hosts at different revisions of one history answer in any order; responses are
// lost or delayed. The follower's revision never decreases, its rows match the state at its
// revision, and its lease never exceeds the granted time.
func TestFollowerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := []*state.State{state.New()}
		c := &clock{time.Unix(1000, 0)}
		s := &fakeControl{}
		f := follower(c, s)
		revision, leaseEnd := uint64(0), time.Time{}
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				data, _ := history[len(history)-1].Snapshot()
				next := state.New()
				_ = next.Restore(data)
				host := rapid.SampledFrom([]string{"h1", "h2"}).Draw(t, "host")
				target := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target")
				next.Apply(rapid.SampledFrom([]*coordpb.Command{register(host, "agent", target), forget(host)}).Draw(t, "command"))
				history = append(history, next)
			},
			"poll": func(t *rapid.T) {
				from := history[rapid.IntRange(0, len(history)-1).Draw(t, "control host")]
				lost := rapid.Bool().Draw(t, "lost")
				delay := time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
				sent := c.now
				s.answer = func(r *rpc.SyncRequest) (*rpc.SyncResponse, error) {
					c.now = c.now.Add(delay)
					if lost {
						return nil, context.DeadlineExceeded
					}
					return &rpc.SyncResponse{View: from.View(r.Since), FreshnessMs: 1000}, nil
				}
				if err := f.Poll(background); err == nil {
					revision, leaseEnd = from.Revision(), sent.Add(time.Second)
				}
			},
			"": func(t *rapid.T) {
				now := f.Current()
				if now == nil {
					return
				}
				if now.Revision != revision {
					t.Fatalf("revision of the snapshot is %d, want %d", now.Revision, revision)
				}
				if f.Fresh(leaseEnd) {
					t.Fatalf("Fresh is true at the end of the lease")
				}
				sameHosts(t, now, history)
			},
		})
	})
}

// sameHosts compares the hosts of the snapshot with those of the state at its revision.
func sameHosts(t *rapid.T, now *view.Snapshot, history []*state.State) {
	for _, s := range history {
		if s.Revision() != now.Revision {
			continue
		}
		hosts := s.Hosts()
		if len(hosts) != len(now.Hosts) {
			t.Fatalf("snapshot has %d hosts, state has %d", len(now.Hosts), len(hosts))
		}
		for _, h := range hosts {
			if now.Hosts[h.Host].GetTarget() != h.Target || now.AgentByTarget[h.Target] == nil {
				t.Fatalf("snapshot has host %v, state has %v", now.Hosts[h.Host], h)
			}
		}
	}
}
