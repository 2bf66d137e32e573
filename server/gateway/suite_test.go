package gateway_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/platform"
	"cowsliptiller/server/events"
	"cowsliptiller/server/gateway"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gateway")
}

// source is a view.Source that the test controls.
type source struct {
	mu      sync.Mutex
	current *view.Snapshot
	fresh   bool
	changed chan struct{}
	renewed chan struct{}
	silent  time.Duration
}

func (s *source) Current() *view.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *source) Fresh(time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

func (s *source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *source) Renewed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.renewed
}

func (s *source) Silent(time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *source) setFresh(f bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh = f
	if f {
		close(s.renewed)
		s.renewed = make(chan struct{})
	}
}

// setSilent sets for how long control has not answered.
func (s *source) setSilent(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = d
}

// wire is a fake of the board, the control process and the agents.
type wire struct {
	rpc.Control
	mu         sync.Mutex
	version    uint64
	standings  []*rpc.Standing
	ensure     func(ctx context.Context, r *rpc.EnsureRequest) (*rpc.EnsureResponse, error)
	asked      []string // models that agents were asked for
	filling    bool     // the board's table is incomplete
	polls      int      // of the board
	failing    int      // polls to fail
	unsendable error    // of the last poll that no message can carry
	epoch      uint64   // of the board; 0: 1
	speeds     []*rpc.SpeedSample
	reserve    func(r *rpc.ReserveRequest) (*rpc.ReserveResponse, error)
	drawing    func(ctx context.Context) // called before an answer to Draw, if set
	crashes    []*coordpb.RecordCrashes  // reported to control
	known      time.Duration             // for how long the leader has known all targets; 0: an hour
	departed   []*rpc.Standing           // targets that the table had
}

func (w *wire) Strike(_ context.Context, r *rpc.StrikeRequest) (*rpc.StrikeResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, r.Crashes)
	return &rpc.StrikeResponse{}, nil
}

func (w *wire) Reserve(_ context.Context, r *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	w.mu.Lock()
	reserve := w.reserve
	w.mu.Unlock()
	if reserve == nil {
		return nil, fmt.Errorf("unexpected request for a send time of %s", r.Instance)
	}
	return reserve(r)
}

func (w *wire) Watch(_ context.Context, r *rpc.WatchRequest) (*rpc.WatchResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.takePoll(r) {
		return nil, errors.New("no answer")
	}
	return &rpc.WatchResponse{Version: w.version, Whole: true, Epoch: max(1, w.epoch), Standings: w.standings, EntryHosts: 1, Filling: w.filling}, nil
}

// ServiceVersions answers as the leader does.
func (w *wire) ServiceVersions(_ context.Context, r *rpc.ServiceVersionsRequest) (*rpc.ServiceVersionsResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	resp := &rpc.ServiceVersionsResponse{Epoch: max(1, w.epoch), KnownMs: uint32(cmp.Or(w.known, time.Hour).Milliseconds())}
	for _, s := range slices.Concat(w.standings, w.departed) {
		if s.Service == r.Service {
			resp.SoftwareVersions = append(resp.SoftwareVersions, s.SoftwareVersion)
		}
	}
	return resp, nil
}

// setKnown sets for how long the leader has known all targets.
func (w *wire) setKnown(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = d
}

// awaitPolls returns once the gateway has the board's present table.
func (w *wire) awaitPolls() {
	GinkgoHelper()
	count := func() int {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.polls
	}
	before := count()
	Eventually(count, 10*time.Second).Should(BeNumerically(">", before+1))
}

func (w *wire) Report(context.Context, *rpc.StandingReport) (*rpc.StandingReportResponse, error) {
	return &rpc.StandingReportResponse{}, nil
}

func (w *wire) Permit(context.Context, *rpc.PermitRequest) (*rpc.PermitResponse, error) {
	return &rpc.PermitResponse{Granted: true}, nil
}

func (w *wire) Ensure(ctx context.Context, r *rpc.EnsureRequest) (*rpc.EnsureResponse, error) {
	w.mu.Lock()
	w.asked = append(w.asked, strings.TrimSuffix(r.Model+"/"+r.Adapter, "/"))
	ensure := w.ensure
	w.mu.Unlock()
	return ensure(ctx, r)
}

func (w *wire) Draw(ctx context.Context, r *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	w.mu.Lock()
	drawing := w.drawing
	w.mu.Unlock()
	if drawing != nil {
		drawing(ctx)
	}
	resp := &rpc.DrawResponse{Epoch: 1, Sequence: r.Sequence}
	for _, item := range r.Items {
		resp.Grants = append(resp.Grants, &rpc.DrawGrant{Workspace: item.Workspace, RetryAfterMs: 700, ValidMs: 1000})
	}
	return resp, nil
}

// targetHandler is a fake target's handler; n counts its requests from 1.
type targetHandler func(w http.ResponseWriter, r *http.Request, n int)

// lines collects a gateway's log.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
	seen func(line string) // called for each line, if set
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != nil {
		l.seen(string(p))
	}
	return l.text.Write(p)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// fleet is one gateway and its targets.
type fleet struct {
	lines   *lines
	gateway *gateway.Gateway
	source  *source
	wire    *wire
	address string
	config  gateway.Config
	mu      sync.Mutex
	ran     map[string][]*http.Request // by instance
	bodies  []string
}

const (
	host = "svc.example"
	key  = "a-key"
	// limitedKey is of a workspace with a rate of a few tokens.
	limitedKey = "limited-key"
)

func route(name, prefix, service string) *coordpb.DeploymentRoute {
	return &coordpb.DeploymentRoute{
		Name: name, Host: host, Prefix: prefix, TimeoutMs: 3000, LatencyMs: 100, PauseMs: 300, MaxTargets: 2,
		Services: []*coordpb.WeightedService{{Service: service, Weight: 1}},
	}
}

func deploymentOf() *coordpb.Deployment {
	digest, limited := deployment.DigestOf(key), deployment.DigestOf(limitedKey)
	lookup, order := route("lookup", "/lookup/", "plain"), route("order", "/order/", "plain")
	stream, once := route("stream", "/stream/", "models"), route("once", "/once/", "models")
	lookup.Idempotent = true
	stream.Streaming, stream.Resumable, once.Streaming = true, true, true
	return &coordpb.Deployment{
		Version: 1, Routes: []*coordpb.DeploymentRoute{lookup, order, stream, once},
		Services: []*coordpb.DeploymentService{{Name: "plain", WarmUpS: 3, WarmUpPerS: 19}, {Name: "models", WarmUpS: 3, WarmUpPerS: 19, Engine: &coordpb.DeploymentEngine{
			WeightsMb: 200, LongestReservationMs: 2000, Models: []*coordpb.DeploymentModel{{Name: "m", WeightsMb: 100}, {Name: "rare", WeightsMb: 100}},
		}}},
		Workspaces: []*coordpb.DeploymentWorkspace{
			{Name: "w", KeyDigests: [][]byte{digest[:]}},
			{Name: "limited", KeyDigests: [][]byte{limited[:]}, Rate: 10, Burst: 20},
		},
		Limits: &coordpb.CallerLimits{BodyBytes: 1 << 16, IdleTimeoutMs: 15000},
	}
}

// newFleet starts a gateway and targets of a service, each with its handler. Targets of
// "models" hold model m.
func newFleet(service string, targets ...targetHandler) *fleet {
	return newFleetOf(service, false, targets...)
}

// newFleetOf is newFleet with a board whose table may be incomplete.
func newFleetOf(service string, filling bool, targets ...targetHandler) *fleet {
	return newFleetWith(func(*gateway.Config) {}, service, filling, targets...)
}

// entryHosts returns the rows of entry hosts.
func entryHosts(names ...string) map[string]*coordpb.Host {
	out := map[string]*coordpb.Host{}
	for _, name := range names {
		out[name] = &coordpb.Host{Host: name, Role: "entry", Incarnation: "1"}
	}
	return out
}

// newFleetWith is newFleetOf with another configuration of the gateway.
func newFleetWith(configure func(*gateway.Config), service string, filling bool, targets ...targetHandler) *fleet {
	d := deploymentOf()
	f := &fleet{
		source: &source{fresh: true, changed: make(chan struct{}), renewed: make(chan struct{}), current: &view.Snapshot{Revision: 1, Deployment: d, Routes: deployment.NewIndex(d), EntryHosts: entryHosts("e1")}},
		wire:   &wire{version: 1, filling: filling}, ran: map[string][]*http.Request{},
	}
	for i, handle := range targets {
		f.addTarget(fmt.Sprintf("i-%d", i+1), service, handle)
	}
	f.lines = &lines{}
	log := hclog.New(&hclog.LoggerOptions{Output: f.lines, JSONFormat: true})
	if os.Getenv("COWSLIP_TEST_LOG") != "" {
		log = hclog.New(&hclog.LoggerOptions{Output: GinkgoWriter})
	}
	f.address = freeAddress()
	f.config = gateway.Config{
		Caller: &rpc.Caller{Host: "e1", Incarnation: "1", FailureDomain: "d"}, Source: f.source, Control: f.wire,
		Board: func() rpc.Board { return f.wire },
		Peer: func(address string) rpc.Streams {
			return rpc.NewStreamsProtobufClient("http://"+address, http.DefaultClient)
		},
		Loader: func(string) rpc.Loader { return f.wire }, RegionOf: map[string]string{"d": "near", "d2": "far"},
		Listen: f.address, Ratio: 1, Reserve: 100, Window: 10 * time.Second,
		DrainLook: 50 * time.Millisecond, Grace: 2 * time.Second,
		Metrics: gateway.NewMetrics(prometheus.NewRegistry()), Events: events.New(log, time.Now), Log: log, Now: time.Now,
		Bodies: intake.NewReader(bodyMemory, time.Now),
	}
	configure(&f.config)
	f.gateway = gateway.New(f.config)
	Expect(f.gateway.Start(context.Background())).To(Succeed())
	DeferCleanup(func() { _ = f.gateway.Close() })
	Eventually(f.gateway.Ready).Should(Succeed())
	return f
}

// bodyMemory is the memory of a process as its bodies are limited by it.
const bodyMemory = 284 << 20

// freeAddress returns an address of a loopback IP of this process's own: no other process or
// outgoing connection takes the port before it is listened at.
func freeAddress() string {
	pid := os.Getpid()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>16&63, pid>>8&255, max(2, pid&255)))
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// addHosts starts further entry hosts, which share the fleet's table and view with the first one and
// know each other. It returns their addresses for callers.
func (f *fleet) addHosts(names ...string) (addresses []string) {
	rows := entryHosts(append(names, f.config.Caller.Host)...)
	hosts := map[string]*gateway.Gateway{f.config.Caller.Host: f.gateway}
	for _, name := range names {
		c := f.config
		c.Listen = freeAddress()
		c.Caller = &rpc.Caller{Host: name, Incarnation: "1", FailureDomain: "d"}
		c.Metrics = gateway.NewMetrics(prometheus.NewRegistry())
		hosts[name] = gateway.New(c)
		addresses = append(addresses, c.Listen)
	}
	for name, g := range hosts {
		internal := http.NewServeMux()
		g.Mount(internal)
		server := httptest.NewServer(internal)
		DeferCleanup(server.Close)
		rows[name].Address = server.Listener.Addr().String()
	}
	f.source.mu.Lock()
	changed := *f.source.current
	changed.EntryHosts = rows
	f.source.current = &changed
	f.source.mu.Unlock()
	for _, name := range names {
		Expect(hosts[name].Start(context.Background())).To(Succeed())
		DeferCleanup(func() { _ = hosts[name].Close() })
		Eventually(hosts[name].Ready).Should(Succeed())
	}
	return addresses
}

func (f *fleet) addTarget(instance, service string, handle targetHandler) {
	n := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.mu.Lock()
		n++
		count := n
		f.ran[instance] = append(f.ran[instance], r)
		f.bodies = append(f.bodies, string(body))
		f.mu.Unlock()
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderStamp, "stamp-of-"+instance)
		handle(w, r, count)
	}))
	DeferCleanup(server.Close)
	s := &rpc.Standing{Instance: instance, Service: service, Address: server.Listener.Addr().String(), FailureDomain: "d", Slots: 4, Agent: "agent", Reported: true, SoftwareVersion: "v1"}
	if service == "models" {
		s.Models = []*rpc.HeldModel{{Name: "m"}}
	}
	f.wire.mu.Lock()
	defer f.wire.mu.Unlock()
	f.wire.version++
	f.wire.standings = append(f.wire.standings, s)
}

// addRawTargets adds targets of one address that write bytes as answers, by the number of the connection and that of the
// request on it, from 1.
func (f *fleet) addRawTargets(instances []string, service string, answer func(connection, request int) string) {
	GinkgoHelper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		connections := 0
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			connections++
			go answerRequests(c, connections, answer)
		}
	}()
	f.wire.mu.Lock()
	for _, instance := range instances {
		f.wire.standings = append(f.wire.standings, &rpc.Standing{
			Instance: instance, Service: service, Address: l.Addr().String(), FailureDomain: "d", Slots: 4, Agent: "agent", Reported: true,
		})
	}
	f.wire.version++
	f.wire.mu.Unlock()
	f.wire.awaitPolls()
}

// answerRequests answers the requests on a connection until it is closed.
func answerRequests(c net.Conn, connection int, answer func(connection, request int) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 1; ; n++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer(connection, n)); err != nil {
			return
		}
	}
}

// setVersion sets the software version of a target in the table.
func (f *fleet) setVersion(instance, version string) {
	f.wire.mu.Lock()
	f.wire.standings = slices.Clone(f.wire.standings) // the last reply has the former slice
	for i, s := range f.wire.standings {
		if s.Instance == instance {
			f.wire.standings[i] = proto.CloneOf(s)
			f.wire.standings[i].SoftwareVersion = version
		}
	}
	f.wire.version++
	f.wire.mu.Unlock()
	f.wire.awaitPolls()
}

// arrivals returns the number of callers' requests that all targets got.
func (f *fleet) arrivals() int {
	f.mu.Lock()
	instances := slices.Collect(maps.Keys(f.ran))
	f.mu.Unlock()
	n := 0
	for _, instance := range instances {
		n += f.requestsAt(instance)
	}
	return n
}

// resumes returns the ids of the requests that continued a stream at targets.
func (f *fleet) resumes(instances ...string) (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, instance := range instances {
		for _, r := range f.ran[instance] {
			if r.Header.Get(platform.HeaderLastEvent) != "" {
				ids = append(ids, r.Header.Get(platform.HeaderRequestID))
			}
		}
	}
	return ids
}

// forgetResumes clears what the targets got.
func (f *fleet) forgetResumes() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.ran)
}

// arrivalsAt is the number of requests that a target got.
func (f *fleet) arrivalsAt(instance string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ran[instance])
}

// request returns a caller's request.
func (f *fleet) request(method, path string, headers ...string) *http.Request {
	r, err := http.NewRequest(method, "http://"+f.address+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(platform.HeaderRequestID, "r-1")
	r.Header.Set(platform.HeaderDeadline, "2500")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// reply is an answer as a caller saw it.
type reply struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
	closes bool  // the answer has "Connection: close"
}

// summary returns the status and the body, for messages of failed tests.
func (r reply) summary() string { return fmt.Sprintf("%d %s", r.status, r.body) }

// sendLater sends a request in the background; its reply comes on the channel.
func sendLater(r *http.Request) <-chan reply {
	replies := make(chan reply, 1)
	go func() {
		defer GinkgoRecover()
		replies <- send(r)
	}()
	return replies
}

// sendWithin sends a request with a context.
func sendWithin(ctx context.Context, r *http.Request) (*http.Response, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: -1}}
	return client.Do(r.WithContext(ctx))
}

func send(r *http.Request) reply {
	GinkgoHelper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: -1}}
	resp, err := client.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err, resp.Close}
}

// raw sends text unchanged over a connection and returns the answer.
func (f *fleet) raw(text string) *http.Response {
	c, err := net.Dial("tcp4", f.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	_, err = io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

func answer(status int, body string) targetHandler {
	return func(w http.ResponseWriter, _ *http.Request, _ int) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func notRun(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set(platform.HeaderNotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// hang sends no answer until the caller disconnects.
func hang(_ http.ResponseWriter, r *http.Request, _ int) { <-r.Context().Done() }

// breakOff closes the connection without an answer.
func breakOff(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) }

// stream writes events with the ids from..to. If broken is set, the connection is closed
// within the next event.
func stream(w http.ResponseWriter, from, to int, broken bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x%d\n\n", i, i)
		w.(http.Flusher).Flush()
	}
	if broken {
		_, _ = fmt.Fprintf(w, "id: %d\nda", to+1)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}
