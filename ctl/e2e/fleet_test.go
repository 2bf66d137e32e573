package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/standin/engine"
)

// fleet is a small deployment of separate processes.
type fleet struct {
	dir      string
	secret   string
	token    string
	controls []*process
	entries  []*process
	agents   []*process
	targets  []*process

	operators []string          // IP:port of the operator listeners
	callers   []string          // IP:port of the entry listeners
	standins  []string          // IP:port of the targets
	names     []string          // of the targets
	controlAt []string          // IP:port of the control members' internal listeners
	toControl []*relay          // in front of each control member's internal listener
	toAgent   []*relay          // in front of each agent's internal listener
	toTarget  []*relay          // in front of each target
	platform  *httptest.Server  // the platform's list of hosts
	listed    atomic.Value      // its JSON
	keys      map[string]string // workspace -> secret
	keyIDs    map[string]string // workspace -> key id
	spread    bool              // the processes of a role are in different failure domains
}

// size says how many processes a fleet has.
type size struct {
	controls int
	entries  int
	targets  []string // names, as in the questionnaire
	spread   bool     // the processes of a role are in different failure domains
}

// newFleet starts a fleet and waits until all of it is ready.
func newFleet(s size) *fleet {
	f := &fleet{dir: GinkgoT().TempDir(), keys: map[string]string{}, keyIDs: map[string]string{}, spread: s.spread}
	f.secret = f.file("secret", "a secret for tests only")
	f.token = f.file("token", "a token for tests only")
	f.listed.Store(`{"hosts":[]}`)
	f.platform = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, f.listed.Load()) }))
	DeferCleanup(f.platform.Close)
	for range s.controls {
		r := newRelay("127.0.0.1:0", ports(1)[0])
		f.toControl = append(f.toControl, r)
		f.controlAt = append(f.controlAt, r.address)
	}
	for i := range s.controls {
		f.addControl(i)
	}
	for i := range s.entries {
		f.addEntry(i)
	}
	for i, name := range s.targets {
		f.addTarget(i, name)
	}
	DeferCleanup(f.stop)
	for _, p := range f.all() {
		p.start()
	}
	for _, p := range f.controls {
		p.waitReady()
	}
	return f
}

func (f *fleet) file(name, text string) string {
	path := filepath.Join(f.dir, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// domain returns the failure domain of the i-th process of a role.
func (f *fleet) domain(i int) string {
	if !f.spread {
		i = 0
	}
	return "domain-" + string(rune('a'+i))
}

// common returns the settings of every role. Others reach the process through a
// relay where one is given.
func (f *fleet) common(role, host, domain string, via *relay, internal, health string) []string {
	args := []string{
		"--roles=" + role, "--host=" + host, "--failure-domain=" + domain, "--internal-address=" + internal,
		"--health-address=" + health, "--secret-file=" + f.secret, "--log-level=debug",
	}
	if via != nil {
		args = append(args, "--advertise-address="+via.address)
	}
	for _, a := range f.controlAt {
		args = append(args, "--control-address="+a)
	}
	return args
}

func (f *fleet) daemon(name string, health string, args []string) *process {
	return &process{name: name, binary: binaries.cowslipd, args: args, health: health, log: filepath.Join(f.dir, name+".log")}
}

func (f *fleet) addControl(i int) {
	at := ports(2)
	name := fmt.Sprintf("control-%d", i+1)
	args := append(f.common("control", name, f.domain(i), f.toControl[i], f.toControl[i].to, at[0]),
		"--control-data="+filepath.Join(f.dir, name), fmt.Sprintf("--control-member-id=%d", i+1),
		"--operator-address="+at[1], "--operator-token-file="+f.token, "--control-platform-list="+f.platform.URL+"/hosts")
	for j, a := range f.controlAt {
		args = append(args, fmt.Sprintf("--control-member=%d=%s", j+1, a))
	}
	f.operators = append(f.operators, at[1])
	f.controls = append(f.controls, f.daemon(name, at[0], args))
}

func (f *fleet) addEntry(i int) {
	at := ports(3)
	name := fmt.Sprintf("entry-%d", i+1)
	args := append(f.common("entry", name, f.domain(i), nil, at[0], at[1]), "--entry-address="+at[2])
	f.callers = append(f.callers, at[2])
	f.entries = append(f.entries, f.daemon(name, at[1], args))
}

func (f *fleet) addTarget(i int, target string) {
	at := ports(3)
	name := fmt.Sprintf("agent-%d", i+1)
	toAgent, toTarget := newRelay("127.0.0.1:0", at[0]), newRelay("127.0.0.1:0", at[2])
	f.toAgent, f.toTarget = append(f.toAgent, toAgent), append(f.toTarget, toTarget)
	args := append(f.common("agent", name, f.domain(i), toAgent, at[0], at[1]),
		"--agent-target="+target, "--agent-target-url=http://"+toTarget.address)
	f.agents = append(f.agents, f.daemon(name, at[1], args))
	f.standins, f.names = append(f.standins, at[2]), append(f.names, target)
	standin := []string{"standin", "--address=" + at[2], "--name=" + target, "--memory-gib=56", "--token-time=1ms", "--prompt-time=1ms"}
	if i%2 == 0 { // as the questionnaires say of them
		standin = append(standin, "--checks-fencing")
	}
	f.targets = append(f.targets, &process{
		name: "target-" + target, binary: binaries.cowslipctl, log: filepath.Join(f.dir, "target-"+target+".log"), args: standin,
	})
}

func (f *fleet) all() []*process {
	var all []*process
	for _, group := range [][]*process{f.targets, f.controls, f.agents, f.entries} {
		all = append(all, group...)
	}
	return all
}

// stop ends every process that the fleet started.
func (f *fleet) stop() {
	for _, p := range f.all() {
		if p.cmd != nil && p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			p.kill()
		}
	}
	if CurrentSpecReport().Failed() {
		for _, p := range f.all() {
			AddReportEntry(p.name, p.tail())
		}
	}
}

// ctl runs cowslipctl against all control members and returns what it printed.
func (f *fleet) ctl(args ...string) (string, error) {
	return f.ctlAt(f.operators, args...)
}

func (f *fleet) ctlAt(operators []string, args ...string) (string, error) {
	global := []string{"--token-file=" + f.token, "--actor=test", "--json"}
	for _, o := range operators {
		global = append(global, "--control="+o)
	}
	cmd := exec.Command(binaries.cowslipctl, append(global, args...)...)
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	if err != nil {
		err = fmt.Errorf("%w: %s", err, strings.TrimSpace(errOut.String()))
	}
	return out.String(), err
}

// must runs cowslipctl and decodes its JSON into v.
func (f *fleet) must(v any, args ...string) {
	out, err := f.ctl(args...)
	Expect(err).NotTo(HaveOccurred(), strings.Join(args, " "))
	if v != nil {
		Expect(json.Unmarshal([]byte(out), v)).To(Succeed(), out)
	}
}

// configure submits a questionnaire as the first one, gives each workspace a
// key, and waits until every process is ready.
func (f *fleet) configure(example string, workspaces ...string) {
	f.must(nil, "questionnaire", "submit", "--replaces=0", "--submission-id=first", filepath.Join("..", "..", "examples", example))
	for _, w := range workspaces {
		f.giveKey(w)
	}
	for _, p := range append(append([]*process{}, f.agents...), f.entries...) {
		p.waitReady()
	}
}

func (f *fleet) giveKey(workspace string) {
	var key struct{ KeyID, Secret string }
	f.must(&key, "key", "give", workspace)
	f.keys[workspace], f.keyIDs[workspace] = key.Secret, key.KeyID
}

// faults switches faults of one target.
func (f *fleet) faults(i int, faults engine.Faults) {
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.Post("http://"+f.standins[i]+"/faults", "application/json", bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	Expect(resp.StatusCode).To(Equal(http.StatusOK))
}

// record is a target's own account of what it executed.
type record struct {
	Executions []engine.Execution `json:"executions"`
	UsedBytes  int64              `json:"used_bytes"`
	PeakBytes  int64              `json:"peak_bytes"`
}

func (f *fleet) record(i int) record {
	resp, err := http.Get("http://" + f.standins[i] + "/record")
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	var r record
	Expect(json.NewDecoder(resp.Body).Decode(&r)).To(Succeed())
	return r
}

// executions returns the account of all targets together.
func (f *fleet) executions() []engine.Execution {
	var all []engine.Execution
	for i := range f.standins {
		all = append(all, f.record(i).Executions...)
	}
	return all
}

// platformSays has the platform's list show a host in a state.
func (f *fleet) platformSays(host, state string) {
	f.listed.Store(fmt.Sprintf(`{"hosts":[{"host":%q,"state":%q}]}`, host, state))
}
