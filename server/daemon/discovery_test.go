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

// foundWithin is how long a process may take until it follows control again.
const foundWithin = 5 * time.Second

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
			Host: fmt.Sprintf("host-%d", i+1), FailureDomain: "a", IP: ip, InternalPort: f.port, Tolerated: members / 2,
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

// startedFleet is a fleet whose first seeds are its members.
func startedFleet(t *testing.T, network byte, others int) *testFleet {
	f := newTestFleet(t, network, 3, others)
	f.seed(f.hosts(), f.members)
	f.start(true, f.hosts()...)
	f.following(foundWithin, f.hosts()...)
	return f
}

// Guards against control that is never found again once the seeds have no disk and all
// processes have stopped.
func TestControlIsFoundAfterTheSeedsChangedAndAllStopped(t *testing.T) {
	f := startedFleet(t, 71, 4)
	f.stop()
	f.seed(f.hosts(), f.others[:3])
	f.start(false, f.hosts()...)
	f.following(foundWithin, f.hosts()...)
}
