package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/deployment"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/coord/routing"
	"cowsliptiller/coord/streams"
	"cowsliptiller/platform"
	"cowsliptiller/server/charging"
	"cowsliptiller/server/events"
	"cowsliptiller/server/intake"
)

// call is one request of a caller, from its header to its final answer.
type call struct {
	platform.Call
	http      *http.Request
	index     *deployment.Index
	route     *coordpb.DeploymentRoute
	service   *deployment.Service
	workspace *coordpb.DeploymentWorkspace   // nil: the route needs no key
	origin    atomic.Pointer[streams.Origin] // of the stream that the call continues or has begun; nil: none
	domains   map[string]bool                // failure domains whose targets may run the call; nil: all
	buffered  *intake.Body                   // nil: not read yet, or the request has none
	start     time.Time
	deadline  time.Time
	attempts  *request.Call
	progress  atomic.Int32 // of the first attempt; see maySend
	tokens    int64
	record    events.RequestSummary
	// retryExpected says that a target will load the model for the caller's retry.
	retryExpected bool
	digest        request.Fingerprint // see fingerprint
	widestPause   time.Duration       // between two events that were sent to the caller
	targetBroke   bool                // the last attempt's connection was ended by the target's side
	hashParts     sync.Once           // guards partHashes
	partHashes    []request.Part      // see parts
}

// repeatable reports whether the call may run more than once.
func (c *call) repeatable() bool {
	return c.route.Idempotent || c.route.Streaming && c.route.Resumable
}

// cutBy returns who ended an answer that had begun and failed with f.
func (c *call) cutBy(f *fault.Error) events.Party {
	switch {
	case f.Kind == fault.Canceled:
		return events.ByCaller
	case f.Kind == fault.Timeout:
		return events.ByDeadline
	case c.targetBroke:
		return events.ByTarget
	}
	return events.ByHost
}

// waitLimit is how long the caller waits: for the first event of a stream, or else for the answer.
func (c *call) waitLimit() time.Duration {
	if !c.route.Streaming {
		return c.deadline.Sub(c.start)
	}
	return min(deployment.EventTimeout(c.route), c.deadline.Sub(c.start))
}

// waitDeadline returns when the caller gives up on a stream whose latest event was sent lastEvent
// after the call's start, 0 for none.
func (c *call) waitDeadline(lastEvent time.Duration) time.Time {
	until := c.start.Add(lastEvent + c.waitLimit())
	if until.After(c.deadline) {
		return c.deadline
	}
	return until
}

// allows reports whether a target in a failure domain may run the call.
func (c *call) allows(domain string) bool { return c.domains == nil || c.domains[domain] }

// rank is the call's priority; 0 is the highest.
func (c *call) rank() int {
	if c.workspace != nil && c.workspace.Ranked {
		return int(c.workspace.Rank)
	}
	return int(c.route.Rank)
}

// value weights calls when capacity is short: each rank counts half of the one above it.
func (c *call) value() float64 { return 1 / float64(int(1)<<min(c.rank(), 8)) }

// modelName is the model, or model/adapter, that the call needs; empty for none.
func (c *call) modelName() string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// routingName is the name under which the router knows the targets that serve the call.
func (c *call) routingName() string {
	if c.needsModel() {
		return c.service.Name + ":" + c.modelName()
	}
	return routing.ServiceName(c.service.Name)
}

// needsModel reports whether the call goes to a target that must hold its model.
func (c *call) needsModel() bool { return c.Model != "" && c.service.RunsModels() }

// defaultDeadline bounds a call until its route is known. Route timeouts for interactive
// use are shorter.
const defaultDeadline = 5 * time.Minute

// admit authenticates a request and resolves its route and service. Errors: fault.Stale,
// fault.NotFound, fault.Unauthenticated.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request, start time.Time) (*call, error) {
	c := &call{Call: platform.ReadCall(r.Header), http: r, start: start, deadline: start.Add(defaultDeadline)}
	c.record.Request = c.RequestID
	if err := g.awaitIndex(w, c); err != nil {
		return c, err
	}
	c.record.Version = c.index.Version
	return c, g.resolve(c, func() (*coordpb.DeploymentWorkspace, error) {
		if w := c.index.WorkspaceFor(c.Key); w != nil {
			return w, nil
		}
		return nil, fault.New(fault.Unauthenticated, "no workspace holds this key")
	})
}

// resolve resolves the route and service of a call whose index is set. workspaceOf is called if the
// route needs a key. Errors: fault.NotFound for the route, and those of workspaceOf.
func (g *Gateway) resolve(c *call, workspaceOf func() (*coordpb.DeploymentWorkspace, error)) error {
	host := c.http.Host
	path, _, _ := strings.Cut(c.http.RequestURI, "?")
	c.route = c.index.Route(host, path)
	if c.route == nil {
		return fault.New(fault.NotFound, "no route for host %q and path %q", host, path)
	}
	c.record.Route = c.route.Name
	if c.index.NeedsKey(c.route) {
		w, err := workspaceOf()
		if err != nil {
			return err
		}
		c.workspace, c.record.Workspace = w, w.Name
	}
	c.service = c.index.Service(deployment.ServiceFor(c.route, c.RequestID))
	c.record.Service, c.record.Model = c.service.Name, c.modelName()
	c.domains = deployment.AllowedDomains(c.route, c.workspace, g.config.RegionOf)
	c.setDeadline()
	class := request.Class{Name: c.route.Name, Repeatable: c.repeatable()}
	c.attempts = request.NewCall(c.RequestID, c.record.Workspace, class, c.deadline)
	return nil
}

func (c *call) setDeadline() {
	limit := time.Duration(c.route.TimeoutMs) * time.Millisecond
	if c.Deadline > 0 {
		limit = min(limit, c.Deadline)
	}
	c.deadline = c.start.Add(limit)
}

// readBody reads the whole body: a retry needs it, and a slow sender must not occupy a
// slot at a target.
func (g *Gateway) readBody(w http.ResponseWriter, c *call) error {
	limit := c.index.Limits.BodyBytes
	if err := g.bufferBody(w, c, limit); err != nil {
		return err
	}
	if limit > 0 && int64(len(c.body())) > limit {
		return fault.New(fault.TooLarge, "the body is longer than %d bytes", limit) // it was read under an earlier limit
	}
	return nil
}

// bufferBody reads the body once, up to limit bytes; 0 means no limit.
func (g *Gateway) bufferBody(w http.ResponseWriter, c *call, limit int64) error {
	if c.buffered != nil {
		return nil
	}
	var err error
	c.buffered, err = g.config.Bodies.Read(w, c.http, intake.Source{
		Workspace: c.record.Workspace, Arrived: c.start, Limit: limit, Deadline: c.deadline, Owner: g,
	})
	return err
}

// body returns the body, once it has been read.
func (c *call) body() []byte { return c.buffered.Bytes() }

// charge takes the call's tokens from its workspace's rate; refund returns them.
func (g *Gateway) charge(ctx context.Context, c *call) (refund func(), err error) {
	if c.workspace == nil || c.workspace.Rate == 0 {
		return func() {}, nil
	}
	c.tokens = c.chargedTokens()
	c.record.Tokens, c.record.Rate = c.tokens, c.workspace.Rate
	if s := g.config.Source.Current(); s != nil && s.Deployment != nil {
		g.configureRate(s)
	}
	charge, err := g.rate.Charge(ctx, charging.Request{
		Workspace: c.workspace.Name, Tokens: c.tokens, Deadline: c.deadline,
	})
	if err != nil {
		return func() {}, chargeError(err)
	}
	return func() { g.rate.Refund(charge, charge.Tokens) }, nil
}

// chargedTokens returns the tokens that the call takes from the rate of its workspace.
func (c *call) chargedTokens() int64 {
	switch {
	case c.workspace.PerCall:
		return 1
	case c.HasTokenCounts:
		return c.PromptTokens + c.MaxOutputTokens
	}
	return c.workspace.DefaultTokens
}

// chargeError returns the refusal for the error of a charge.
func chargeError(err error) error {
	if fault.Is(err, fault.TooLarge) {
		// More than the workspace's whole burst: waiting cannot help.
		return fault.New(fault.RateLimited, "%s", fault.From(err).Message)
	}
	return err
}
