package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/agent"
	"cowsliptiller/server/entry"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
	"cowsliptiller/standin/engine"
)

// generous bounds what is waited for when all is well.
const generous = 20 * time.Second

const questionnaire = `
deployment: test
failure_domains: [north]
store: {loads_per_second: 4, full_speed_loads: 4, adapter_loads: 32, adapter_load_limit: 10ms}
classes:
  - {name: lookup, urgency: interactive, deadline: 30s, repeatable: true, default: true}
  - {name: brief, urgency: must_finish, deadline: 60s, repeatable: true}
  - {name: hasty, urgency: interactive, deadline: 300ms, repeatable: true}
  - {name: confirmation, urgency: by_deadline, deadline: 30s, repeatable: false}
services:
  - name: portal
    calls:
      - {path: bookings, class: lookup, tokens: 20}
      - {path: manifests/confirm, class: confirmation, tokens: 50}
targets:
  - {name: engine-1, kind: engine, failure_domain: north, memory: 80GiB, kv_cache: 24GiB, concurrency: 8, checks_fencing: true}
  - {name: engine-2, kind: engine, failure_domain: north, memory: 80GiB, kv_cache: 24GiB, concurrency: 8, checks_fencing: true}
  - {name: portal-1, kind: service, service: portal, failure_domain: north, concurrency: 8}
  - {name: portal-2, kind: service, service: portal, failure_domain: north, concurrency: 8}
models:
  - {name: m1, version: "1", size: 14GiB, load_time: 10ms, cached: []}
  - {name: m2, version: "1", size: 14GiB, load_time: 10ms, cached: []}
adapters:
  - {name: a1, model: m1, size: 40MiB}
workspaces:
  - {name: labs, rate: 100000, burst: 1000000, models: ["*"], services: ["*"]}
  - {name: drivers, rate: 100000, burst: 1000000, models: [m2], services: []}
`

const (
	labsKey    = "labs-secret-key"
	driversKey = "drivers-secret-key"
)

// fleet is control's fake, agents with stand-in targets, and entry hosts, which
// talk over loopback as in a deployment.
type fleet struct {
	control  *fakeControl
	secret   *process.Secret
	entries  []*entry.Entry
	agents   map[string]*agent.Agent
	targets  map[string]*engine.Target
	silence  time.Duration
	client   *http.Client
	log      hclog.Logger
	registry prometheus.Registerer
	settings settings.Entry
	bodies   *intake.Reader // of the newest entry host
}

func newFleet(entries int, targets ...string) *fleet {
	f := &fleet{
		control:  newFakeControl(questionnaire),
		secret:   process.NewSecret([]byte("a secret of the test's fleet"), time.Now),
		agents:   map[string]*agent.Agent{},
		targets:  map[string]*engine.Target{},
		silence:  generous,
		log:      hclog.NewNullLogger(),
		settings: settings.Entry{Address: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxRequests: 64},
	}
	f.client = process.AnswerClient(f.secret)
	f.control.giveKey("labs", labsKey)
	f.control.giveKey("drivers", driversKey)
	for _, name := range targets {
		f.addTarget(name)
	}
	for range entries {
		f.addEntry()
	}
	return f
}

func (f *fleet) addTarget(name string) {
	spec := f.control.Current().Configuration.Targets[name]
	target := engine.New(engine.Config{Name: name, MemoryBytes: spec.MemoryBytes, ChecksFencing: spec.ChecksFencing})
	server := httptest.NewServer(target.Handler())
	DeferCleanup(server.Close)
	f.targets[name] = target
	f.addAgent(name, server.URL)
}

func (f *fleet) addAgent(target, url string) {
	a := agent.New(agent.Config{
		Settings:  settings.Agent{Target: target, TargetURL: url},
		Caller:    &rpc.Caller{Host: "host-" + target, Role: "agent", Target: target},
		Source:    f.control,
		Control:   f.control,
		Log:       f.log,
		Now:       begunLongAgo(),
		Silence:   f.silence,
		Bodies:    intake.NewReader(284<<20, time.Now),
		Reconcile: 20 * time.Millisecond,
	})
	mux := http.NewServeMux()
	a.Mount(mux)
	server := httptest.NewUnstartedServer(nil)
	server.Config = process.InternalServer(f.secret, mux)
	server.Start()
	DeferCleanup(server.Close)
	Expect(a.Start(context.Background())).To(Succeed())
	DeferCleanup(a.Close)
	f.agents[target] = a
	f.setAgent(target, server.Listener.Addr().String())
}

// begunLongAgo is a clock whose first reading is an hour old: an agent that
// reads it has waited out what an earlier run may have ordered.
func begunLongAgo() func() time.Time {
	first := time.Now().Add(-time.Hour)
	return func() time.Time {
		now := first
		if !now.IsZero() {
			first = time.Time{}
			return now
		}
		return time.Now()
	}
}

// setAgent tells the entry hosts where a target's agent is.
func (f *fleet) setAgent(target, address string) {
	f.control.change(func(s *view.Snapshot) {
		s.AgentByTarget[target] = &coordpb.Host{Host: "host-" + target, Role: "agent", Target: target, Address: address}
	})
}

func (f *fleet) addEntry() {
	f.bodies = intake.NewReader(284<<20, time.Now)
	e := entry.New(entry.Config{
		Settings: f.settings,
		Caller:   &rpc.Caller{Host: "entry", Role: "entry"},
		Source:   f.control,
		Control:  f.control,
		Client:   f.client,
		Bodies:   f.bodies,
		Log:      f.log,
		Registry: f.registry,
		Now:      time.Now,
		Rand:     rand.New(rand.NewPCG(1, 2)),
	})
	Expect(e.Start(context.Background())).To(Succeed())
	DeferCleanup(e.Close)
	f.entries = append(f.entries, e)
}

// load decides a replica and waits until it is ready.
func (f *fleet) load(model, target string) {
	f.control.decide(model, target)
	Eventually(func() bool { return f.control.ready(model) }).WithTimeout(generous).Should(BeTrue())
}

// ask describes one request of a caller.
type ask struct {
	path   string
	body   string
	key    string
	header map[string]string
	entry  int
}

// reply is what the caller got; broken is the error of reading the body.
type reply struct {
	status int
	header http.Header
	body   string
	broken error
}

func (f *fleet) open(ctx context.Context, a ask) (*http.Response, error) {
	if a.key == "" {
		a.key = labsKey
	}
	url := "http://" + f.entries[a.entry].Address().String() + a.path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(a.body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+a.key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range a.header {
		req.Header.Set(name, value)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

func (f *fleet) send(a ask) reply {
	ctx, cancel := context.WithTimeout(context.Background(), generous)
	defer cancel()
	res, err := f.open(ctx, a)
	if err != nil {
		return reply{broken: err}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: string(body), broken: err}
}

// refusal is the error body as callers read it.
type refusal struct {
	Kind       string `json:"kind"`
	Message    string `json:"message"`
	Ran        string `json:"ran"`
	Repeatable bool   `json:"repeatable"`
	RequestID  string `json:"request_id"`
}

func (r reply) refusal() refusal {
	var body refusal
	ExpectWithOffset(1, json.Unmarshal([]byte(r.body), &body)).To(Succeed(), r.body)
	return body
}

func digestOf(body string) string {
	sum := sha256.Sum256([]byte(body))
	return hex.EncodeToString(sum[:])
}

// text joins what a stream's events say.
func streamText(body string) string {
	var text strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var event struct {
			Choices []struct{ Text string }
		}
		Expect(json.NewDecoder(bytes.NewBufferString(data)).Decode(&event)).To(Succeed())
		for _, choice := range event.Choices {
			text.WriteString(choice.Text)
		}
	}
	return text.String()
}
