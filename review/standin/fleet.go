package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseLimit ends a case that does not end by itself.
const caseLimit = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*fleet) int{}

// Ports on each host's address, as a settings file gives them.
const (
	portFront    = 8221
	portReady    = 8224
	portControl  = 8229
	portInternal = 7600
	portReplica  = 8308
	portList     = 8225
)

// fleet is a small deployment: entry hosts with a disk, and hosts beside model replicas.
type fleet struct {
	trouble bool
	dir     string // temporary
	net     string // prefix of its loopback addresses
	record  *record
	list    *list

	mu        sync.Mutex
	processes []*process
}

// record is record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// runCase runs a case in a new fleet and ends all processes of it.
func runCase(run func(*fleet) int) int {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer os.RemoveAll(dir)
	f := &fleet{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: &record{file: file, start: time.Now()}}
	defer f.stopAll()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // a reader that has gone must not leave processes behind
	result := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				fmt.Fprintln(os.Stderr, "the case could not run:", r)
				f.record.add("the case could not run: %v", r)
				result <- cannotRun
			}
		}()
		f.reserveNetwork()
		result <- run(f)
	}()
	select {
	case code := <-result:
		f.record.add("exit code %d", code)
		return code
	case <-time.After(caseLimit):
		f.record.add("time limit of the case")
	case <-stop:
	}
	return cannotRun
}

// reserveNetwork finds loopback addresses that nobody uses: the list's address reserves them.
func (f *fleet) reserveNetwork() {
	for n := range 60 * 200 {
		f.net = fmt.Sprintf("127.%d.%d.", 130+n/200, n%200+1)
		l, err := net.Listen("tcp4", f.address(5, portList))
		if err == nil {
			f.list = newList(f.record)
			go func() { _ = http.Serve(l, f.list) }()
			return
		}
	}
	panic("no free loopback network")
}

func (f *fleet) address(octet, port int) string { return fmt.Sprintf("%s%d:%d", f.net, octet, port) }

// process is a process that this case has started.
type process struct {
	name  string
	start func() *exec.Cmd

	mu   sync.Mutex
	cmd  *exec.Cmd
	gone chan struct{}
}

func (f *fleet) launch(name string, start func() *exec.Cmd) *process {
	p := &process{name: name, start: start}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	f.restart(p)
	return p
}

func (f *fleet) restart(p *process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := p.start()
	log, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		panic(fmt.Sprintf("start %s: %v", p.name, err))
	}
	gone := make(chan struct{})
	p.cmd, p.gone = cmd, gone
	f.record.add("process %s starts", p.name)
	go func() {
		err := cmd.Wait()
		f.record.add("process %s ended: %v", p.name, err)
		close(gone)
	}()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && !p.ended() {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) ended() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.gone
}

func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range f.processes {
		<-p.gone
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		for _, p := range f.processes {
			text, _ := os.ReadFile(filepath.Join(f.dir, p.name+".log"))
			_ = os.WriteFile(filepath.Join(kept, p.name+".log"), text, 0o600)
		}
	}
}

// Last octets of the addresses of hosts.
const (
	entryOctet = 10
	sideOctet  = 100
	plainOctet = 200
)

// entries are the numbers of the entry hosts, which all have a disk.
const entries = 3

// startEntries starts the entry hosts with the command of the deploy file.
func (f *fleet) startEntries() (list []*process) {
	for i := range entries {
		list = append(list, f.launch(fmt.Sprintf("edge-%d", i+1), f.host(fmt.Sprintf("edge-%d", i+1), entryOctet+i, "")))
	}
	return list
}

// startSide starts the process beside a model replica.
func (f *fleet) startSide(i int) *process {
	return f.launch(fmt.Sprintf("side-%d", i+1), f.host(fmt.Sprintf("side-%d", i+1), sideOctet+i, f.address(sideOctet+i, portReplica)))
}

// host returns the start of a host's process. Bootstrap is true only at its first start.
func (f *fleet) host(name string, octet int, app string) func() *exec.Cmd {
	first := true
	return func() *exec.Cmd {
		path := filepath.Join(f.dir, name+".toml")
		if err := os.WriteFile(path, []byte(f.settings(name, octet, app, first)), 0o600); err != nil {
			panic(err)
		}
		first = false
		cmd := exec.Command("target/cowslipd", "platform", "--metrics-port", "9108")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "COWSLIPTILLER_CONFIG=" + path}
		return cmd
	}
}

// settings is a settings file with the fields and bounds of the users' page.
func (f *fleet) settings(name string, octet int, app string, first bool) string {
	var b strings.Builder
	seeds := make([]string, entries)
	for i := range seeds {
		seeds[i] = fmt.Sprintf("%q", f.address(entryOctet+i, portControl))
	}
	class, serves, data := "edge", `"edge","control_plane"`, filepath.Join(f.dir, "data-"+name)
	if app != "" {
		class, serves, data = "side", `"side"`, ""
	} else if err := os.MkdirAll(data, 0o700); err != nil {
		panic(err)
	}
	fmt.Fprintf(&b, "NodeName = %q\nRole = %q\nMachineClass = %q\nServes = [%s]\nIp = \"%s%d\"\nZone = \"zone-a\"\nRegion = \"region\"\n", name, "role", class, serves, f.net, octet)
	fmt.Fprintf(&b, "InternalPorts = [%d,%d]\nSeeds = [%s]\nBootstrap = %v\nCountsTowardLoss = %v\nDataDir = %q\nDiscovery = \"cloud\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n", portInternal, portInternal+15, strings.Join(seeds, ","), first, app == "", data)
	fmt.Fprintf(&b, "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"tenants\",\"quota\"]\nConfigMode = \"highest\"\n")
	if app != "" {
		fmt.Fprintf(&b, "app = %q\nService = %q\n", app, modelService)
	}
	fmt.Fprintf(&b, "[Zones]\nzone-a = \"region\"\n[Listen]\n")
	if app == "" {
		fmt.Fprintf(&b, "Front = %q\nReady = %q\nControl = %q\n", f.address(octet, portFront), f.address(octet, portReady), f.address(octet, portControl))
	}
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.72\nCores = 1\nMemoryMb = 284\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 64\n[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n")
	fmt.Fprintf(&b, "[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = %d\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nRevertSlackMs = 250\nMaxStretchMs = 5000\nStrictRevoke = true\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nRetrySlack = 62\nQuotaWindowS = 8\nQuotaOverrun = 0.1\nQuotaSlack = 17000\nRecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\nRequireFence = true\nLeaseMs = 3000\nThawMs = 300\nCeilingWindowS = 5\nCeilingOverrun = 1.1\n", drainMs)
	fmt.Fprintf(&b, "[CloudApi]\nAddress = %q\nRatePerS = 44.0\nDuties = []\nMaxLagMs = %d\n", f.address(5, portList), listLagMs)
	return b.String()
}

// Bounds that the cases use.
const (
	drainMs   = 3000
	listLagMs = 800
)

// startReplica starts a replica as a process. Each start is a new lifetime with a new time of birth.
func (f *fleet) startReplica(name string, octet int, id string, arguments ...string) *process {
	return f.launch(name, f.replicaCommand(name, octet, id, arguments...))
}

func (f *fleet) replicaCommand(name string, octet int, id string, arguments ...string) func() *exec.Cmd {
	own, err := os.Executable()
	if err != nil {
		panic(err)
	}
	all := append([]string{"replica", "-listen", f.address(octet, portReplica), "-id", id, "-out", filepath.Join(f.dir, name+".runs")}, arguments...)
	return func() *exec.Cmd { return exec.Command(own, all...) }
}

// putConfig sends a config until it is accepted.
func (f *fleet) putConfig(config any) {
	text, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	deadline := time.Now().Add(30 * time.Second)
	for n := 0; time.Now().Before(deadline); n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.address(entryOctet+n%entries, portControl)+"/config", bytes.NewReader(text))
		req.Header.Set("Content-Type", "application/json")
		resp, err := http.DefaultClient.Do(req)
		cancel()
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				f.record.add("the config is acknowledged")
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	panic("no config was acknowledged")
}

// awaitReady returns when all entry hosts say that they are ready.
func (f *fleet) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for i := 0; i < entries; {
		resp, err := http.Get("http://" + f.address(entryOctet+i, portReady) + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				i++
				continue
			}
		}
		if time.Now().After(deadline) {
			panic("an entry host is not ready")
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.record.add("all entry hosts are ready")
}
