package daemon

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"cowsliptiller/platform"
)

// foundWithin bounds the time until all processes follow control, as the platform does.
const foundWithin = 12 * time.Second

// testFleet is a fleet of processes on loopback, each at an IP number of its own.
type testFleet struct {
	t       *testing.T
	port    int
	members []*testHost // with a disk
	others  []*testHost // without
}

type testHost struct {
	settings platform.Process
	builder  *platformBuilder
	stop     chan struct{}
	abort    chan struct{}
	done     chan error
}

// newTestFleet describes hosts in 127.0.network.0/24; none is started.
func newTestFleet(t *testing.T, network byte, members, others int) *testFleet {
	f := &testFleet{t: t, port: freePort(t)}
	for i := range members + others {
		ip := netip.AddrFrom4([4]byte{127, 0, network, byte(i + 1)}).String()
		h := &testHost{settings: platform.Process{
			Host: fmt.Sprintf("host-%d", i+1), FailureDomain: "a", IP: ip, InternalPort: f.port, FaultTolerance: members / 2,
			Bounds: platform.Bounds{Grace: 2 * time.Second, Revoke: 5 * time.Second, StoreWindow: 5 * time.Second},
		}}
		if i < members {
			h.settings.DataFolder = t.TempDir()
			f.members = append(f.members, h)
			continue
		}
		f.others = append(f.others, h)
	}
	t.Cleanup(f.stop)
	return f
}

func freePort(t *testing.T) int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

func (f *testFleet) hosts() []*testHost {
	return append(append([]*testHost{}, f.members...), f.others...)
}

// seed names the seeds of some hosts at their next start.
func (f *testFleet) seed(hosts, seeds []*testHost) {
	for _, h := range hosts {
		h.settings.Seeds = nil
		for _, s := range seeds {
			h.settings.Seeds = append(h.settings.Seeds, s.settings.IP)
		}
	}
}

func (f *testFleet) start(first bool, hosts ...*testHost) {
	for _, h := range hosts {
		h.start(first)
	}
}

func (h *testHost) start(first bool) {
	p := h.settings
	p.FirstStart = first
	h.builder = newPlatformBuilder(&p, io.Discard)
	h.stop, h.abort, h.done = make(chan struct{}), make(chan struct{}), make(chan error, 1)
	go func() { h.done <- h.builder.run(h.stop, h.abort) }()
}

// halt ends processes without letting running requests end.
func (f *testFleet) halt(hosts ...*testHost) {
	for _, h := range hosts {
		if h.stop != nil {
			close(h.abort)
			close(h.stop)
		}
	}
	for _, h := range hosts {
		if h.stop == nil {
			continue
		}
		if err := <-h.done; err != nil {
			f.t.Logf("%s ended: %v", h.settings.Host, err)
		}
		h.stop = nil
	}
}

func (f *testFleet) stop() { f.halt(f.hosts()...) }

// following waits until each of the hosts follows control.
func (f *testFleet) following(within time.Duration, hosts ...*testHost) {
	f.t.Helper()
	timeout := time.After(within)
	for _, h := range hosts {
		for !h.builder.follower.Fresh(time.Now()) {
			select {
			case <-h.builder.follower.Renewed():
			case <-timeout:
				f.t.Fatalf("%s does not follow control %v after the start", h.settings.Host, within)
			}
		}
	}
}

// restart stops all processes and starts them with other seeds for members and others.
func (f *testFleet) restart(seedsOfMembers, seedsOfOthers []*testHost) {
	f.stop()
	f.seed(f.members, seedsOfMembers)
	f.seed(f.others, seedsOfOthers)
	f.start(false, f.hosts()...)
	f.following(foundWithin, f.hosts()...)
}

// startedFleet is a fleet whose first seeds are its members.
func startedFleet(t *testing.T, network byte, others int) *testFleet {
	f := newTestFleet(t, network, 3, others)
	f.seed(f.hosts(), f.members)
	f.start(true, f.hosts()...)
	f.following(foundWithin, f.hosts()...)
	return f
}

// Guards against a circular wait in discovery after a restart with seeds that have no disk.
func TestControlIsFoundAfterTheSeedsChangedAndAllStopped(t *testing.T) {
	f := startedFleet(t, 71, 4)
	f.restart(f.others[:3], f.others[:3])
}

// Guards against control that is found only through seeds that all settings agree on.
func TestControlIsFoundWhenItsSeedsAreNotThoseOfTheOthers(t *testing.T) {
	f := startedFleet(t, 72, 6)
	f.restart(f.others[:3], f.others[3:])
}

// Guards against new hosts that do not find control through seeds without a disk.
func TestNewHostsFindControlThroughOneSeedOfThree(t *testing.T) {
	f := startedFleet(t, 73, 4)
	added := f.others[3]
	f.halt(added)
	added.settings.Host = "host-added"
	f.stop()
	f.seed(f.hosts(), f.others[:3])
	f.start(false, f.members...)
	f.start(false, f.others[0], added)
	f.following(foundWithin, append(f.members, f.others[0], added)...)
}

// Guards against a seed that restarts alone, with all other seeds down, and leads nowhere.
func TestASeedThatRestartsLeadsToControl(t *testing.T) {
	f := startedFleet(t, 74, 4)
	f.restart(f.others[:3], f.others[:3])
	f.halt(f.others...)
	f.start(false, f.others[1])
	f.following(foundWithin, f.others[1])
	f.start(false, f.others[3])
	f.following(foundWithin, f.others[3])
}

// Guards against a member without its disk that cannot rejoin, or founds a second group.
func TestAMemberWithoutItsDiskJoinsAgainAfterTheSeedsChanged(t *testing.T) {
	f := startedFleet(t, 75, 3)
	f.stop()
	f.seed(f.hosts(), f.others)
	wiped := f.members[2]
	wiped.settings.DataFolder = t.TempDir()
	f.start(false, f.hosts()...)
	f.following(2*foundWithin, f.hosts()...)
	timeout := time.After(2 * foundWithin)
	for poll := time.Tick(20 * time.Millisecond); !wiped.votes(); {
		select {
		case <-poll:
		case <-timeout:
			t.Fatal("the member has no vote")
		}
	}
	for _, m := range f.members {
		m.awaitGroupOf(t, 3, timeout)
	}
}

// awaitGroupOf returns when the host counts that many members: it learns of a change with its next entry of the log.
func (h *testHost) awaitGroupOf(t *testing.T, members int, timeout <-chan time.Time) {
	t.Helper()
	for poll := time.Tick(20 * time.Millisecond); len(h.builder.group().Members) != members; {
		select {
		case <-poll:
		case <-timeout:
			t.Fatalf("%s counts %d members", h.settings.Host, len(h.builder.group().Members))
		}
	}
}

// votes reports whether the host's control member has a vote in its group.
func (h *testHost) votes() bool {
	role := h.builder.controlMember()
	if role == nil {
		return false
	}
	st := role.Status()
	for _, m := range st.Members {
		if m.Id == st.ID {
			return !m.Learner && len(st.Members) == 3
		}
	}
	return false
}

// Guards against settings without usable seeds that take the old ones away.
func TestSettingsWithoutSeedsKeepTheOldOnes(t *testing.T) {
	b := newPlatformBuilder(&platform.Process{InternalPort: 7600, Seeds: []string{"10.0.0.1"}}, io.Discard)
	b.reseed("signal", &platform.Process{}, nil)
	if got := b.seeds(); len(got) != 1 || got[0] != "10.0.0.1:7600" {
		t.Errorf("after settings without seeds: %v", got)
	}
	b.reseed("file", nil, fmt.Errorf("the file cannot be read"))
	if got := b.seeds(); len(got) != 1 {
		t.Errorf("after unreadable settings: %v", got)
	}
	b.reseed("signal", &platform.Process{Seeds: []string{"10.0.0.2", "10.0.0.3"}}, nil)
	if got := b.seeds(); len(got) != 2 {
		t.Errorf("after new seeds: %v", got)
	}
}

// Guards against followers that restart together under a leader that stays.
func TestControlIsFoundAfterAllProcessesWithoutADiskRestarted(t *testing.T) {
	f := startedFleet(t, 76, 6)
	f.restart(f.others[:3], f.others[3:])
	f.halt(f.others...)
	f.start(false, f.others...)
	f.following(foundWithin, f.others...)
}
