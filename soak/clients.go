package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/platform"
	"cowsliptiller/platform/platformtest"
)

// deployment returns the given version of the deployment document that the operator
// writes. bodyBytes bounds the bodies of requests; 0: the default.
func deployment(version int, withSecondKey bool, bodyBytes int) []byte {
	route := func(name, kind, service string, resumable bool) platformtest.Route {
		return platformtest.Route{Name: name, Host: "soak.example", Prefix: "/" + name + "/", Kind: kind, Service: service,
			Resumable: resumable, MaxTargets: 2, TimeoutMs: 4000, LatencyMs: 200, PauseMs: 300}
	}
	var models []platformtest.Model
	for _, m := range modelNames {
		models = append(models, platformtest.Model{Name: m, Mb: 100, Store: 0.2, Disk: 0.1, Warm: 0.1})
	}
	second := []string{}
	if withSecondKey {
		second = []string{"key-2"}
	}
	return platformtest.Document{
		Version: version,
		Routes: []platformtest.Route{
			route("order", "non_idempotent", "plain", false), route("lookup", "idempotent", "plain", false),
			route("stream", "streaming", "models", true), route("once", "streaming", "models", false),
		},
		Services: []platformtest.Service{
			{Name: "plain"},
			{Name: "models", Slots: 16, RoomMb: 100*modelCapacity + 50, AdapterPlaces: 8, LoadsPerSecond: 20, HoldMs: 2000, Models: models},
		},
		Workspaces: []platformtest.Workspace{
			{Name: "w1", Keys: []string{"key-1"}}, {Name: "w2", Keys: second},
			{Name: limitedWorkspace, Keys: []string{limitedKey}, Rate: limitedRate},
		},
		BodyBytes: bodyBytes,
	}.Encode()
}

// A workspace with a rate limit in requests per second; only the explain tests use it.
const (
	limitedWorkspace = "w3"
	limitedKey       = "key-3"
	limitedRate      = 5
)

var modelNames = []string{"m1", "m2", "m3", "m4", "m5"}

// operator writes deployments and reads them back through randomly chosen entry hosts.
type operator struct {
	fleet        *fleet
	version      int
	ackedVersion int
	revokedAt    time.Time // when the revocation of the second key was acknowledged; zero before that
	client       *http.Client
}

func (o *operator) address(r *rand.Rand, path string) string {
	return fmt.Sprintf("http://%s%d:%d%s", o.fleet.net, firstEntryOctet+r.IntN(entryCount), portControl, path)
}

const configPath = "/config"

// send sends a valid request to random hosts until it is acknowledged or the context ends. It
// reports whether it was acknowledged.
func (o *operator) send(ctx context.Context, r *rand.Rand, method, path string, body []byte) bool {
	for ctx.Err() == nil {
		status, err := o.call(ctx, method, o.address(r, path), body)
		if err == nil && status == http.StatusOK {
			return true
		}
		if err == nil && status/100 == 4 {
			o.fleet.history.addFailure("a valid %s of %s was rejected with status %d", method, path, status)
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}

// write sends the next version until it is acknowledged or the context ends. It reports
// whether the version was acknowledged.
func (o *operator) write(ctx context.Context, r *rand.Rand, withSecondKey bool) bool {
	o.version += 1 + r.IntN(3)
	body := deployment(o.version, withSecondKey, o.fleet.limits.bodyBytes)
	acknowledged := o.send(ctx, r, http.MethodPut, configPath, body)
	if acknowledged {
		o.ackedVersion = o.version
	}
	return acknowledged
}

func (o *operator) call(ctx context.Context, method, address string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 1500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && method == http.MethodGet && resp.StatusCode == http.StatusOK {
		o.checkRead(address, text)
	}
	return resp.StatusCode, err
}

// checkRead checks a deployment read back from a host: it must parse, and must not be
// older than the last acknowledged version.
func (o *operator) checkRead(address string, text []byte) {
	var d struct{ Version int }
	if err := json.Unmarshal(text, &d); err != nil {
		o.fleet.history.addFailure("%s returned a deployment that cannot be decoded: %v", address, err)
	} else if d.Version < o.ackedVersion {
		o.fleet.history.addFailure("%s returned deployment version %d after version %d was acknowledged", address, d.Version, o.ackedVersion)
	}
}

// read reads the deployment from a random entry host and reports whether it succeeded.
func (o *operator) read(ctx context.Context, r *rand.Rand) bool {
	status, err := o.call(ctx, http.MethodGet, o.address(r, configPath), nil)
	return err == nil && status == http.StatusOK
}

// clients send requests in the background until their context ends.
type clients struct {
	fleet  *fleet
	nextID atomic.Int64
	client *http.Client
	slow   *http.Client // of callers that read slowly
	models []string     // that requests need
	// omitsOrigins has requests that resume a stream after an odd number of events omit the request that its stream began with.
	omitsOrigins bool
	wg           sync.WaitGroup
}

func (c *clients) run(ctx context.Context, seed uint64, n int) {
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wg.Go(func() {
			for ctx.Err() == nil {
				c.sendAndResume(ctx, c.newRequest(kinds[r.IntN(len(kinds))], r), r)
				sleep(ctx, time.Duration(r.IntN(30))*time.Millisecond)
			}
		})
	}
}

var kinds = []string{"order", "lookup", "stream", "once"}

// newRequest returns a request of a kind to a random entry host. All of a kind and workspace that
// need the same model have the same content.
func (c *clients) newRequest(kind string, r *rand.Rand) *sentRequest {
	s := &sentRequest{
		id: fmt.Sprintf("r%d", c.nextID.Add(1)), path: "/" + kind + "/x", workspace: "w1", key: "key-1", content: "body",
		waitLimit: 4500 * time.Millisecond,
	}
	if r.IntN(5) == 0 {
		s.workspace, s.key = "w2", "key-2"
	}
	s.resumable = kind == "stream"
	s.idempotent, s.stream = kind == "lookup" || kind == "stream", kind == "stream" || kind == "once"
	if r.IntN(20) == 0 {
		s.waitLimit = 50 * time.Millisecond
	}
	s.entry = r.IntN(entryCount)
	if s.stream {
		s.model = c.models[r.IntN(len(c.models))]
	}
	return s
}

func (c *clients) send(ctx context.Context, s *sentRequest) {
	ctx, cancel := context.WithTimeout(ctx, s.waitLimit)
	defer cancel()
	s.sentAt = time.Now()
	address := fmt.Sprintf("http://%s%d:%d%s", c.fleet.net, firstEntryOctet+s.entry, portCallers, s.path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader([]byte(s.content)))
	if err != nil {
		c.fleet.history.addFailure("%v", err)
		return
	}
	req.GetBody = nil // keeps http.Client from retrying, which would send a second request with the same id
	req.Host = "soak.example"
	req.Header.Set(platform.HeaderRequestID, s.id)
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set(platform.HeaderDeadline, "4000")
	if s.model != "" {
		req.Header.Set(platform.HeaderModel, s.model)
	}
	if s.began != "" {
		if !c.omitsOrigins || s.after%2 == 0 {
			req.Header.Set(platform.HeaderResumes, s.began)
		}
		req.Header.Set(platform.HeaderLastEvent, strconv.Itoa(s.after))
	}
	if s.padding > 0 {
		req.Header.Set(headerPadding, strconv.Itoa(s.padding))
	}
	c.fleet.history.recordSent(s)
	c.exchange(req, s)
	c.fleet.history.recordStatus(s)
	c.fleet.history.recordSlow(s)
}

// exchange sends the request and records the response in s; a failed request leaves the
// status at 0.
func (c *clients) exchange(req *http.Request, s *sentRequest) {
	client := c.client
	if s.padding > 0 {
		client = c.slow
	}
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	if resp.Header.Get(platform.HeaderRateLimit) != "" {
		c.fleet.history.recordLimitSeen(s.entry, resp.Header.Get(platform.HeaderStamp))
	}
	if resp.Header.Get(platform.HeaderLeaving) != "" {
		c.fleet.history.recordLeavingSeen(s.entry, resp.Header.Get(platform.HeaderStamp))
	}
	body, err := s.readBody(resp.Body)
	s.status, s.stamped = resp.StatusCode, resp.Header.Get(platform.HeaderStamp) != ""
	s.body, s.complete = string(body), err == nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
