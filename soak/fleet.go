package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cowsliptiller/platform"
	"cowsliptiller/platform/platformtest"
)

// Layout of the fleet: entry hosts with and without a disk, model targets with one agent
// each, and plain targets without agents.
const (
	entriesWithDisk = 3
	plainTargets    = 2
	modelCapacity   = 2 // models that fit into a target's memory at once
	portCallers     = 8201
	portReady       = 8202
	portControl     = 8203
	portInternal    = 8210
	portMetrics     = 9108 // the default
	portOperators   = 8220
	portTarget      = 8300
	portProxied     = 8301
	portList        = 8400
)

// entryCount and modelTargets scale with the environment variable SOAK_SCALE: 20 runs 140
// processes.
var (
	scale        = max(1, atoi(os.Getenv("SOAK_SCALE")))
	entryCount   = 4 * scale
	modelTargets = 3 * scale
)

// Last octets of the addresses of the first entry host and of the first target, which
// shares its address with its agent.
const (
	firstEntryOctet  = 10
	firstTargetOctet = 120
)

func atoi(text string) int {
	n, _ := strconv.Atoi(text) // 0 if unset or not a number
	return n
}

// host is a simulated host and its process.
type host struct {
	name, ip, settingsPath, dataDir, logPath string
	target, domain                           string
	firstStart                               bool

	mu        sync.Mutex
	process   *process // nil: none runs
	claimed   bool
	started   time.Time
	fileLimit uint64 // of the sizes of files that its process writes, in bytes; see limitFiles
	// disturbed are the times at which the process was started, signaled or ended, or the limit of
	// its files changed, oldest first.
	disturbed []time.Time
}

// process is a started process.
type process struct {
	cmd      *exec.Cmd
	ended    chan struct{}
	stopping atomic.Bool // the fleet has sent a signal that ends the process
}

// fleet holds the processes, targets and proxies of one run.
type fleet struct {
	limits       limits
	net          string // prefix of this fleet's loopback addresses: 127.x.y.
	dir          string
	binary       string
	hosts        []*host
	targets      []*target
	proxies      []*proxy
	history      *history
	listListener net.Listener
	mu           sync.Mutex // guards seeds; no other lock is taken while it is held
	seeds        []string   // seed addresses for settings files written from now on
	// listeners of targets
	listeners []net.Listener
	// activeFaults counts running faults. A run waits for them, because a fault restarts
	// processes when it ends and would otherwise start them after the run.
	activeFaults sync.WaitGroup
}

// limits are those of the processes of a fleet. 0: the defaults.
type limits struct {
	memoryMb, files int // of a process
	bodyBytes       int // of a request's body
}

func newFleet(binary, dir string) (*fleet, error) { return newLimitedFleet(binary, dir, limits{}) }

func newLimitedFleet(binary, dir string, l limits) (*fleet, error) {
	f := &fleet{dir: dir, binary: binary, limits: l, history: newHistory()}
	if err := os.WriteFile(f.tokenPath(), []byte("a token for tests only"), 0o600); err != nil {
		return nil, err
	}
	if err := f.serveTargetList(); err != nil {
		return nil, err
	}
	for i := range modelTargets + plainTargets {
		if err := f.addTarget(i); err != nil {
			return nil, err
		}
	}
	for i := range entryCount {
		f.hosts = append(f.hosts, f.newHost(fmt.Sprintf("entry-%d", i+1), firstEntryOctet+i, i < entriesWithDisk, ""))
	}
	for i := range modelTargets {
		agent := f.newHost(fmt.Sprintf("agent-%d", i+1), firstTargetOctet+i, false, f.targets[i].address)
		agent.domain = f.targets[i].domain
		f.hosts = append(f.hosts, agent)
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

// tokenPath is the file with the token of the operators' API.
func (f *fleet) tokenPath() string { return filepath.Join(f.dir, "operator-token") }

func (f *fleet) addTarget(i int) error {
	ip, service := fmt.Sprintf("%s%d", f.net, firstTargetOctet+i), "models"
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
	f.listeners = append(f.listeners, back)
	p := &proxy{backend: back.Addr().String()}
	t := &target{service: service, address: front.Addr().String(), domain: domainName(i), version: versionName(i), history: f.history, proxy: p, usualPercent: percentOf(i, service)}
	t.restart(false)
	t.serve(back)
	p.serve(front)
	f.targets, f.proxies = append(f.targets, t), append(f.proxies, p)
	return nil
}

// maxFleets is the number of fleets that can run at the same time on one machine.
const maxFleets = 60 * 200

// serveTargetList serves the platform's list of targets. Its listener also reserves the
// fleet's loopback network: another soak on this machine finds the address in use and
// tries the next network.
func (f *fleet) serveTargetList() error {
	var l net.Listener
	for n := 0; l == nil; n++ {
		if n == maxFleets {
			return fmt.Errorf("no free loopback network for the fleet")
		}
		f.net = fmt.Sprintf("127.%d.%d.", 60+n/200, n%200+1)
		l, _ = net.Listen("tcp4", fmt.Sprintf("%s%d:%d", f.net, 5, portList)) // if in use, try the next
	}
	f.listListener = l
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			var list []platformtest.ListedTarget
			for _, t := range f.targets {
				t.mu.Lock()
				if !t.down {
					list = append(list, platformtest.ListedTarget{Instance: t.id, Service: t.service, Address: t.address, FailureDomain: t.domain, Slots: targetSlots, SoftwareVersion: t.version})
				}
				t.mu.Unlock()
			}
			_, _ = w.Write(platformtest.EncodeList(list, platformtest.UnreadableEntry)) // fails if the client has disconnected
		}))
	}()
	return nil
}

func (f *fleet) newHost(name string, last int, disk bool, proxied string) *host {
	h := &host{name: name, ip: fmt.Sprintf("%s%d", f.net, last), firstStart: true, target: proxied, fileLimit: noFileLimit}
	h.settingsPath, h.logPath = filepath.Join(f.dir, name+".toml"), filepath.Join(f.dir, name+".log")
	if disk {
		h.dataDir = filepath.Join(f.dir, name)
	}
	return h
}

// revocationLimit is the time after which a revoked key must no longer be accepted.
const revocationLimit = 5 * time.Second

func (f *fleet) setSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// writeSettings writes the host's settings file with the current seeds.
func (f *fleet) writeSettings(h *host) error {
	f.mu.Lock()
	seeds := f.seeds
	f.mu.Unlock()
	return f.replaceSettings(h, f.encodeSettings(h, seeds))
}

// replaceSettings replaces the host's settings file at once: a process that starts meanwhile reads
// the old text or the new one.
func (f *fleet) replaceSettings(h *host, text string) error {
	file, err := os.CreateTemp(f.dir, h.name+".toml.*")
	if err != nil {
		return err
	}
	_, err = file.WriteString(text)
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), h.settingsPath)
}

func (f *fleet) encodeSettings(h *host, seeds []string) string {
	h.mu.Lock()
	first := h.firstStart
	h.mu.Unlock()
	s := platformtest.Settings{
		Host: h.name, IP: h.ip, FailureDomain: h.domain, Folder: h.dataDir, Target: h.target, Service: "models", InternalPort: portInternal,
		FirstStart: first, List: fmt.Sprintf("%s%d:%d", f.net, 5, portList), RevokeMs: revocationLimit.Milliseconds(), EvacuateMs: evacuationLimit.Milliseconds(), GraceS: 4,
		MemoryMb: f.limits.memoryMb, MaxFiles: f.limits.files,
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
	if err := f.writeSettings(h); err != nil {
		return err
	}
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &process{cmd: exec.Command(f.binary, "platform"), ended: make(chan struct{})}
	p.cmd.Env = []string{
		platform.SettingsVariable + "=" + h.settingsPath,
		fmt.Sprintf("COWSLIP_OPERATOR_PORT=%d", portOperators), "COWSLIP_OPERATOR_TOKEN_FILE=" + f.tokenPath(),
	}
	output := struct{ io.Writer }{log} // not an *os.File: a process that writes its log itself would fail at fileLimit
	p.cmd.Stdout, p.cmd.Stderr = output, output
	h.firstStart, h.started = false, time.Now()
	h.disturbed = append(h.disturbed, h.started)
	if err := p.cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	h.process = p
	go func() {
		defer close(p.ended)
		defer log.Close()
		if err := p.cmd.Wait(); !p.stopping.Load() {
			f.history.addFailure("%s: the process ended by itself: %v", h.name, err)
		}
	}()
	return h.applyFileLimit()
}

func (h *host) olderThan(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.started) > d
}

// signal sends a signal to the host's process, if this fleet has started one.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = append(h.disturbed, time.Now())
	if h.process != nil {
		_ = h.process.cmd.Process.Signal(s)
	}
}

// stopTimeout is the time within which a process must exit after a signal: its grace
// period of 4 s plus a margin for a busy machine.
const stopTimeout = 20 * time.Second

// stop ends the process with a signal. If it has not exited within stopTimeout, stop kills
// it and returns false.
func (h *host) stop(s syscall.Signal) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = append(h.disturbed, time.Now())
	p := h.process
	if p == nil {
		return true
	}
	h.process = nil
	p.stopping.Store(true)
	_ = p.cmd.Process.Signal(s)
	select {
	case <-p.ended:
		return true
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.ended
		return false
	}
}

// removeData removes the host's data directory, as the loss of its disk does.
func (h *host) removeData() error {
	if h.dataDir == "" {
		return nil
	}
	return os.RemoveAll(h.dataDir)
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.stop(syscall.SIGKILL)
	}
	for _, p := range f.proxies {
		p.close()
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	_ = f.listListener.Close() // last, because it reserves the fleet's addresses
}

// claim reserves a host for one fault that stops or pauses its process, fills its disk or
// corrupts its settings. It returns false if another fault holds the host.
func (h *host) claim() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claimed {
		return false
	}
	h.claimed = true
	return true
}

func (h *host) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claimed = false
}
