package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"cowsliptiller/platform"
	"cowsliptiller/platform/platformtest"
)

// The fleet: entry hosts with and without a disk, an agent beside each target of the
// models, and plain targets without one.
const (
	entriesWithDisk = 3
	plainTargets    = 2
	modelsFit       = 2 // models that a target holds at once
	portCallers     = 8201
	portReady       = 8202
	portControl     = 8203
	portInternal    = 8210
	portTarget      = 8300
	portProxied     = 8301
	portList        = 8400
)

// entries and modelTargets are multiples of the smallest fleet: SOAK_SCALE=20 makes 140
// processes of it.
var (
	scale        = max(1, atoi(os.Getenv("SOAK_SCALE")))
	entries      = 4 * scale
	modelTargets = 3 * scale
)

// The last part of the hosts' addresses: of the first entry host, and of the first target
// with the agent beside it.
const (
	entryAddress  = 10
	targetAddress = 120
)

func atoi(text string) int {
	n, _ := strconv.Atoi(text) // 0 where none is given
	return n
}

// host is one host with its process.
type host struct {
	name, ip, settings, folder, log string
	target                          string
	first                           bool

	mu      sync.Mutex
	cmd     *exec.Cmd
	taken   bool
	started time.Time
}

// fleet is all that runs for one seed.
type fleet struct {
	net     string // the loopback addresses of this fleet: 127.x.y.
	dir     string
	binary  string
	hosts   []*host
	targets []*target
	proxies []*proxy
	journal *journal
	list    net.Listener
	mu      sync.Mutex // guards seeds; a leaf
	seeds   []string   // addresses that settings name from now on
	// listeners of targets and proxies.
	listeners []net.Listener
	// faults that are under way: a run ends only after they have put things right, or
	// a process would be started after the run.
	faults sync.WaitGroup
}

func newFleet(binary, dir string) (*fleet, error) {
	f := &fleet{dir: dir, binary: binary, journal: newJournal()}
	if err := f.serveList(); err != nil {
		return nil, err
	}
	for i := range modelTargets + plainTargets {
		if err := f.addTarget(i); err != nil {
			return nil, err
		}
	}
	for i := range entries {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("entry-%d", i+1), entryAddress+i, i < entriesWithDisk, ""))
	}
	for i := range modelTargets {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("agent-%d", i+1), targetAddress+i, false, f.targets[i].address))
	}
	for _, h := range f.hosts[:entriesWithDisk] {
		f.seeds = append(f.seeds, h.ip)
	}
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) addTarget(i int) error {
	ip, service := fmt.Sprintf("%s%d", f.net, targetAddress+i), "models"
	if i >= modelTargets {
		service = "plain"
	}
	back, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, portTarget))
	if err != nil {
		return err
	}
	front, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, portProxied))
	if err != nil {
		return err
	}
	f.listeners = append(f.listeners, back, front)
	t := &target{service: service, address: front.Addr().String(), journal: f.journal}
	t.restart(false)
	t.serve(back)
	p := &proxy{backend: back.Addr().String()}
	p.serve(front)
	f.targets, f.proxies = append(f.targets, t), append(f.proxies, p)
	return nil
}

// nets is how many fleets can run beside each other on one machine.
const nets = 60 * 200

// serveList is the platform's list of targets. Its listener also takes the fleet's
// addresses: another soak on this machine finds it in use and takes the next ones.
func (f *fleet) serveList() error {
	var l net.Listener
	for n := 0; l == nil; n++ {
		if n == nets {
			return fmt.Errorf("no loopback addresses are free")
		}
		f.net = fmt.Sprintf("127.%d.%d.", 60+n/200, n%200+1)
		l, _ = net.Listen("tcp4", fmt.Sprintf("%s%d:%d", f.net, 5, portList)) // in use: the next
	}
	f.list = l
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			var list []platformtest.ListedTarget
			for _, t := range f.targets {
				t.mu.Lock()
				if !t.down {
					list = append(list, platformtest.ListedTarget{Instance: t.id, Service: t.service, Address: t.address, Slots: 16})
				}
				t.mu.Unlock()
			}
			_, _ = w.Write(platformtest.EncodeList(list)) // a reader that has gone does not read it
		}))
	}()
	return nil
}

func (f *fleet) newHost(name string, last int, disk bool, proxied string) *host {
	h := &host{name: name, ip: fmt.Sprintf("%s%d", f.net, last), first: true, target: proxied}
	h.settings, h.log = filepath.Join(f.dir, name+".toml"), filepath.Join(f.dir, name+".log")
	if disk {
		h.folder = filepath.Join(f.dir, name)
	}
	return h
}

// revokeBound is the time within which a withdrawn key must stop.
const revokeBound = 5 * time.Second

func (f *fleet) setSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// write writes a host's settings file as it is to be now.
func (f *fleet) write(h *host) error {
	f.mu.Lock()
	seeds := f.seeds
	f.mu.Unlock()
	return os.WriteFile(h.settings, []byte(f.encode(h, seeds)), 0o600)
}

func (f *fleet) encode(h *host, seeds []string) string {
	h.mu.Lock()
	first := h.first
	h.mu.Unlock()
	s := platformtest.Settings{
		Host: h.name, IP: h.ip, Folder: h.folder, Target: h.target, Service: "models", InternalPort: portInternal,
		FirstStart: first, List: fmt.Sprintf("%s%d:%d", f.net, 5, portList), RevokeMs: revokeBound.Milliseconds(), GraceS: 4,
	}
	for _, ip := range seeds {
		s.Seeds = append(s.Seeds, fmt.Sprintf("%s:%d", ip, portControl))
	}
	if h.target == "" {
		s.Callers, s.Ready, s.Control = fmt.Sprintf("%s:%d", h.ip, portCallers), fmt.Sprintf("%s:%d", h.ip, portReady), fmt.Sprintf("%s:%d", h.ip, portControl)
	}
	return s.Encode()
}

func (f *fleet) start(h *host) error {
	if err := f.write(h); err != nil {
		return err
	}
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd = exec.Command(f.binary, "platform")
	h.cmd.Env = []string{platform.SettingsVariable + "=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.first, h.started = false, time.Now()
	return h.cmd.Start()
}

func (h *host) olderThan(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.started) > d
}

// signal sends a signal to the host's process, which this fleet started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// stopBound is within which a process ends that was told to: its grace of 4 s, and
// what a busy machine adds.
const stopBound = 20 * time.Second

// end ends the process by a signal. It reports whether it ended in time; one that did
// not is killed.
func (h *host) end(s syscall.Signal) bool {
	h.signal(s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return true
	}
	ended := make(chan struct{})
	go func() {
		_ = h.cmd.Wait() // how it ended is not asked
		close(ended)
	}()
	inTime := true
	select {
	case <-ended:
	case <-time.After(stopBound):
		inTime = false
		_ = h.cmd.Process.Kill()
		<-ended
	}
	h.cmd = nil
	return inTime
}

// wipe loses the host's disk.
func (h *host) wipe() error {
	if h.folder == "" {
		return nil
	}
	return os.RemoveAll(h.folder)
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.end(syscall.SIGKILL)
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	_ = f.list.Close() // last: its address stands for all the others
}

// claim takes a host for one fault that ends its process.
func (h *host) claim() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taken {
		return false
	}
	h.taken = true
	return true
}

func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.taken = false
}
