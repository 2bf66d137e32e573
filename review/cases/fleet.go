package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports of the processes. Each host of a fleet has a loopback address of its own.
const (
	portFront    = 8221
	portReady    = 8224
	portControl  = 8229
	portInternal = 7600
	portReplica  = 8228
	portList     = 8225
)

// fleet is a small deployment: three entry hosts with disks, and an agent beside each model replica.
type fleet struct {
	root, dir, net string
	list           net.Listener
	hosts          []*host
	record         *record
	foreign        atomic.Value // string: an entry of another writer in the list
}

// host is one machine and its process.
type host struct {
	fleet            *fleet
	name, ip         string
	dataDir          string // empty: no disk
	replica, service string // of the replica beside an agent
	started          bool   // once: Bootstrap is true at the first start only

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// newFleet reserves a loopback network and a folder.
func newFleet(root string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: r}
	for n := 1; n < 250 && f.list == nil; n++ {
		f.net = fmt.Sprintf("127.91.%d.", n)
		f.list, _ = net.Listen("tcp4", fmt.Sprintf("%s5:%d", f.net, portList)) // in use: the next one
	}
	if f.list == nil {
		return nil, errors.New("no free loopback network")
	}
	return f, nil
}

func (f *fleet) ip(last int) string { return fmt.Sprintf("%s%d", f.net, last) }

func (f *fleet) addEntry(i int) *host {
	h := &host{fleet: f, name: fmt.Sprintf("edge-%d", i+1), ip: f.ip(10 + i)}
	h.dataDir = filepath.Join(f.dir, h.name)
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) addAgent(i int, service string) *host {
	h := &host{fleet: f, name: fmt.Sprintf("side-%d", i+1), ip: f.ip(120 + i), service: service}
	h.replica = fmt.Sprintf("%s:%d", h.ip, portReplica)
	f.hosts = append(f.hosts, h)
	return h
}

func (f *fleet) entries() (out []*host) {
	for _, h := range f.hosts {
		if h.replica == "" {
			out = append(out, h)
		}
	}
	return out
}

// settings is the settings file as DEPLOY.md shows it.
func (h *host) settings() string {
	f := h.fleet
	var seeds []string
	for _, e := range f.entries() {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", e.ip, portControl)))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nIp = %q\nZone = \"zone-a\"\nRegion = \"region\"\nInternalPorts = [%d,%d]\nSeeds = [%s]\nBootstrap = %v\n",
		h.name, h.ip, portInternal, portInternal+15, strings.Join(seeds, ","), !h.started)
	fmt.Fprintf(&b, "Discovery = \"cloud\"\nEntry = \"vip\"\nHeartbeatMs = 1200\nConfigMode = \"highest\"\n")
	fmt.Fprintf(&b, "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\"]\n")
	listen, cpu := "", "0.32\nCores = 1\nMemoryMb = 216\nMaxFds = 4096\nLinkMbps = 2000.0\nDiskMb = 0"
	if h.replica != "" {
		fmt.Fprintf(&b, "MachineClass = \"side\"\nServes = [\"side\"]\nCountsTowardLoss = false\napp = %q\nService = %q\n", h.replica, h.service)
	} else {
		fmt.Fprintf(&b, "MachineClass = \"edge\"\nServes = [\"edge\",\"control_plane\"]\nCountsTowardLoss = true\nDataDir = %q\n", h.dataDir)
		listen = fmt.Sprintf("Front = \"%s:%d\"\nReady = \"%s:%d\"\nControl = \"%s:%d\"\n", h.ip, portFront, h.ip, portReady, h.ip, portControl)
		cpu = "0.72\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 64"
	}
	fmt.Fprintf(&b, "[Zones]\nzone-a = \"region\"\n[Listen]\n%s[Limits]\nCpuShare = %s\n[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n%s", listen, cpu, bounds)
	fmt.Fprintf(&b, "[CloudApi]\nAddress = %q\nRatePerS = 44.0\nDuties = []\nMaxLagMs = 800\n", f.list.Addr())
	return b.String()
}

// bounds are those of the deployments in SYSTEM.md.
const bounds = `[Bounds]
SeedLagS = 3
AddrReuseS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 3000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RevertSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 60
QuotaWindowS = 8
QuotaOverrun = 0.1
QuotaSlack = 17000
RecoveryS = 12
PassMs = 120
RetryAfterS = 0
RequireFence = true
LeaseMs = 3000
ThawMs = 300
CeilingWindowS = 5
CeilingOverrun = 1.1
`

// start starts the process with the command of deploy/system.toml.
func (h *host) start() error {
	path := filepath.Join(h.fleet.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	h.started = true
	log, err := os.OpenFile(filepath.Join(h.fleet.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(filepath.Join(h.fleet.root, "target", "cowslipd"), "platform", "--metrics-port", "9108")
	c.Dir = h.fleet.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.fleet.dir, "LANG=C", "COWSLIPTILLER_CONFIG=" + path}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := make(chan struct{})
	h.process, h.ended = c, ended
	go func() {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the host's process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// kill ends the process and waits for it.
func (h *host) kill() {
	h.mu.Lock()
	c, ended := h.process, h.ended
	h.process = nil
	h.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Kill()
	<-ended
}

// running reports whether the process has not ended.
func (h *host) running() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return false
	}
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.signal(syscall.SIGCONT)
		h.kill()
	}
	_ = f.list.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// record is the record of what was sent, answered and run.
type record struct {
	began time.Time

	mu    sync.Mutex
	file  *os.File
	broke []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that the rule was broken.
func (r *record) violation(format string, args ...any) {
	r.add("RULE BROKEN: "+format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broke = append(r.broke, fmt.Sprintf(format, args...))
}

func (r *record) broken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broke) > 0
}
