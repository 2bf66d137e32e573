package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/platform"
	"cowsliptiller/platform/platformtest"
)

// deployment is a version of what the operator writes.
func deployment(version int, withSecondKey bool) []byte {
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
			{Name: "models", Slots: 16, RoomMb: 100*modelsFit + 50, AdapterPlaces: 8, LoadsPerSecond: 20, Models: models},
		},
		Workspaces: []platformtest.Workspace{
			{Name: "w1", Keys: []string{"key-1"}}, {Name: "w2", Keys: second},
			{Name: limitedWorkspace, Keys: []string{limitedKey}, Rate: limitedRate},
		},
	}.Encode()
}

// A workspace with a rate, which only the tests of causes call.
const (
	limitedWorkspace = "w3"
	limitedKey       = "key-3"
	limitedRate      = 5
)

var modelNames = []string{"m1", "m2", "m3", "m4", "m5"}

// operator writes deployments and reads them back, at any host.
type operator struct {
	fleet   *fleet
	version int
	acked   int
	revoked time.Time // when the withdrawal of the second key was acknowledged; zero: not yet
	client  *http.Client
}

func (o *operator) address(r *rand.Rand) string {
	return fmt.Sprintf("http://%s%d:%d/config", o.fleet.net, entryAddress+r.IntN(entries), portControl)
}

// write sends the next version until it is acknowledged or the context ends.
func (o *operator) write(ctx context.Context, r *rand.Rand, withSecondKey bool) bool {
	o.version += 1 + r.IntN(3)
	body := deployment(o.version, withSecondKey)
	for ctx.Err() == nil {
		resp, err := o.call(ctx, http.MethodPut, o.address(r), body)
		if err == nil && resp == http.StatusOK {
			o.acked = o.version
			return true
		}
		if err == nil && resp/100 == 4 {
			o.fleet.journal.fail("a valid deployment was refused with %d", resp)
			return false
		}
		pause(ctx, 100*time.Millisecond)
	}
	return false
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
		o.judge(address, text)
	}
	return resp.StatusCode, err
}

func (o *operator) judge(address string, text []byte) {
	var d struct{ Version int }
	if err := json.Unmarshal(text, &d); err != nil {
		o.fleet.journal.fail("%s gave back what cannot be read: %v", address, err)
	} else if d.Version < o.acked {
		o.fleet.journal.fail("%s gave back version %d after %d was acknowledged", address, d.Version, o.acked)
	}
}

// read reads the deployment at some host; it reports whether it came.
func (o *operator) read(ctx context.Context, r *rand.Rand) bool {
	status, err := o.call(ctx, http.MethodGet, o.address(r), nil)
	return err == nil && status == http.StatusOK
}

// clients send requests until the context ends.
type clients struct {
	fleet  *fleet
	next   atomic.Int64
	client *http.Client
	wg     sync.WaitGroup
}

func (c *clients) run(ctx context.Context, seed uint64, n int) {
	for i := range n {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		c.wg.Go(func() {
			for ctx.Err() == nil {
				c.send(ctx, r)
				pause(ctx, time.Duration(r.IntN(30))*time.Millisecond)
			}
		})
	}
}

func (c *clients) send(ctx context.Context, r *rand.Rand) {
	kind := []string{"order", "lookup", "stream", "once"}[r.IntN(4)]
	s := &sent{id: fmt.Sprintf("r%d", c.next.Add(1)), path: "/" + kind + "/x", workspace: "w1", key: "key-1", at: time.Now()}
	if r.IntN(5) == 0 {
		s.workspace, s.key = "w2", "key-2"
	}
	s.repeatable, s.stream = kind == "lookup" || kind == "stream", kind == "stream" || kind == "once"
	ctx, cancel := context.WithTimeout(ctx, 4500*time.Millisecond)
	defer cancel()
	if r.IntN(20) == 0 {
		ctx, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
	}
	address := fmt.Sprintf("http://%s%d:%d%s", c.fleet.net, entryAddress+r.IntN(entries), portCallers, s.path)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader([]byte("body")))
	if err != nil {
		c.fleet.journal.fail("%v", err)
		return
	}
	req.GetBody = nil // a client's own repeat would be a request under the same id
	req.Host = "soak.example"
	req.Header.Set(platform.HeaderRequestID, s.id)
	req.Header.Set("Authorization", "Bearer "+s.key)
	req.Header.Set(platform.HeaderDeadline, "4000")
	if s.stream {
		req.Header.Set(platform.HeaderModel, modelNames[r.IntN(len(modelNames))])
	}
	c.fleet.journal.begin(s)
	c.finish(req, s)
	c.fleet.journal.end(s)
}

func (c *clients) finish(req *http.Request, s *sent) {
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.status, s.stamped = resp.StatusCode, resp.Header.Get(platform.HeaderStamp) != ""
	s.body, s.whole = string(body), err == nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
