package entry_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
	"cowsliptiller/standin/engine"
)

// fakeControl is control and everybody's view of it, without delay. It answers
// in the place of rpc.Control and of view.Source.
type fakeControl struct {
	rpc.Control // calls that these tests never make
	mu          sync.Mutex
	snapshot    *view.Snapshot
	changed     chan struct{}
	stale       bool
	fencing     uint64
	decided     int                       // load decisions
	loads       map[string]string         // model -> target to decide on its first demand
	claims      map[string]*coordpb.Claim // by workspace and key
	strikes     []*coordpb.RecordStrike
	failing     error         // of every claim and settlement
	demanded    int           // requests that wait, by the newest report
	holdSettle  chan struct{} // settlements wait for it; nil: they do not
	holdClaim   chan struct{} // claims are granted and their answers wait for it; nil: they do not
	dry         bool          // no tokens are granted
}

func newFakeControl(questionnaire string) *fakeControl {
	q, err := config.Parse([]byte(questionnaire))
	if err != nil {
		panic(err)
	}
	return &fakeControl{
		changed: make(chan struct{}),
		loads:   map[string]string{},
		claims:  map[string]*coordpb.Claim{},
		snapshot: &view.Snapshot{
			Revision:      1,
			Configuration: config.Generate(q, 1),
			Keys:          map[view.Digest]*coordpb.Key{},
			Hosts:         map[string]*coordpb.Host{},
			AgentByTarget: map[string]*coordpb.Host{},
			Replicas:      map[string][]*coordpb.Replica{},
			Strikes:       map[string]*coordpb.Strikes{},
		},
	}
}

func (c *fakeControl) Current() *view.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshot
}

func (c *fakeControl) Fresh(time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.stale
}

func (c *fakeControl) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// change publishes a new snapshot.
func (c *fakeControl) change(with func(s *view.Snapshot)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.publish(with)
}

// publish is change for a holder of mu.
func (c *fakeControl) publish(with func(s *view.Snapshot)) {
	next := *c.snapshot
	next.Revision++
	next.Keys = cloned(next.Keys)
	next.AgentByTarget = cloned(next.AgentByTarget)
	next.Replicas = map[string][]*coordpb.Replica{}
	for model, replicas := range c.snapshot.Replicas {
		for _, r := range replicas {
			next.Replicas[model] = append(next.Replicas[model], proto.Clone(r).(*coordpb.Replica))
		}
	}
	with(&next)
	c.snapshot = &next
	close(c.changed)
	c.changed = make(chan struct{})
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

func (c *fakeControl) giveKey(workspace, secret string) {
	digest := sha256.Sum256([]byte(secret))
	c.change(func(s *view.Snapshot) {
		s.Keys[digest] = &coordpb.Key{KeyId: "id-" + secret, Workspace: workspace, Digest: digest[:]}
	})
}

func (c *fakeControl) withdrawKey(secret string) {
	digest := sha256.Sum256([]byte(secret))
	c.change(func(s *view.Snapshot) {
		key := proto.Clone(s.Keys[digest]).(*coordpb.Key)
		key.Withdrawn = true
		s.Keys[digest] = key
	})
}

// decide makes a load decision.
func (c *fakeControl) decide(model, target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decideLocked(model, target)
}

func (c *fakeControl) decideLocked(model, target string) {
	c.fencing++
	c.decided++
	replica := &coordpb.Replica{Model: model, Target: target, Fencing: c.fencing, State: coordpb.ReplicaState_REPLICA_STATE_LOAD}
	c.publish(func(s *view.Snapshot) { s.Replicas[model] = append(s.Replicas[model], replica) })
}

// fail makes every claim and settlement fail, until nil is given.
func (c *fakeControl) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failing = err
}

func (c *fakeControl) claimState(id string) coordpb.ClaimState {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.claims[id].GetState()
}

func (c *fakeControl) ready(model string) bool {
	for _, r := range c.Current().Replicas[model] {
		if r.State == coordpb.ReplicaState_REPLICA_STATE_READY {
			return true
		}
	}
	return false
}

func (c *fakeControl) Sync(context.Context, *rpc.SyncRequest) (*rpc.SyncResponse, error) {
	return &rpc.SyncResponse{}, nil
}

func (c *fakeControl) Confirm(_ context.Context, r *rpc.ConfirmRequest) (*rpc.ConfirmResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, confirmed := range r.Confirmations {
		c.publish(func(s *view.Snapshot) { confirm(s, confirmed) })
	}
	return &rpc.ConfirmResponse{}, nil
}

func confirm(s *view.Snapshot, confirmed *coordpb.ConfirmReplica) {
	var kept []*coordpb.Replica
	for _, r := range s.Replicas[confirmed.Model] {
		if r.Target == confirmed.Target && r.Fencing == confirmed.Fencing {
			if !confirmed.Loaded {
				continue
			}
			r.State = coordpb.ReplicaState_REPLICA_STATE_READY
		}
		kept = append(kept, r)
	}
	s.Replicas[confirmed.Model] = kept
}

func (c *fakeControl) Demand(_ context.Context, r *rpc.DemandRequest) (*rpc.DemandResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demanded = 0
	for _, demand := range r.Demands {
		c.demanded += int(demand.Waiting)
		target := c.loads[demand.Model]
		if demand.Waiting > 0 && target != "" && len(c.snapshot.Replicas[demand.Model]) == 0 {
			c.decideLocked(demand.Model, target)
		}
	}
	return &rpc.DemandResponse{}, nil
}

func (c *fakeControl) Claim(_ context.Context, r *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	c.mu.Lock()
	hold := c.holdClaim
	c.mu.Unlock()
	response, err := c.claim(r)
	if hold != nil {
		<-hold
	}
	return response, err
}

func (c *fakeControl) claim(r *rpc.ClaimRequest) (*rpc.ClaimResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing != nil {
		return nil, rpc.ToTwirp(c.failing)
	}
	asked := r.Claim
	id := asked.Workspace + "/" + asked.IdempotencyKey
	standing := c.claims[id]
	if standing == nil || standing.State == coordpb.ClaimState_CLAIM_STATE_NOT_RUN {
		standing = &coordpb.Claim{Workspace: asked.Workspace, IdempotencyKey: asked.IdempotencyKey, RequestDigest: asked.RequestDigest,
			Attempt: asked.Attempt, State: coordpb.ClaimState_CLAIM_STATE_OPEN, ExpiresUnixMs: asked.ExpiresUnixMs}
		c.claims[id] = standing
	}
	if !bytes.Equal(standing.RequestDigest, asked.RequestDigest) {
		return nil, rpc.ToTwirp(fault.New(fault.KeyReused, "the idempotency key came with another request"))
	}
	granted := standing.Attempt == asked.Attempt
	return &rpc.ClaimResponse{Granted: granted, Claim: proto.Clone(standing).(*coordpb.Claim)}, nil
}

func (c *fakeControl) Settle(_ context.Context, r *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	c.mu.Lock()
	hold := c.holdSettle
	c.mu.Unlock()
	if hold != nil {
		<-hold
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failing != nil {
		return nil, rpc.ToTwirp(c.failing)
	}
	claim := c.claims[r.Settle.Workspace+"/"+r.Settle.IdempotencyKey]
	if claim != nil && claim.Attempt == r.Settle.Attempt && claim.State == coordpb.ClaimState_CLAIM_STATE_OPEN {
		claim.State = r.Settle.State
		claim.Outcome = r.Settle.Outcome
	}
	return &rpc.SettleResponse{}, nil
}

func (c *fakeControl) Draw(_ context.Context, r *rpc.DrawRequest) (*rpc.DrawResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	res := &rpc.DrawResponse{Epoch: 1, Sequence: r.Sequence}
	for _, item := range r.Items {
		if c.dry {
			res.Grants = append(res.Grants, &rpc.DrawGrant{Workspace: item.Workspace, ValidMs: 60_000, RetryAfterMs: 30_000})
			continue
		}
		res.Grants = append(res.Grants, &rpc.DrawGrant{Workspace: item.Workspace, Tokens: item.WantTokens, KeepTokens: item.HoldingTokens, ValidMs: 60_000, RoomMs: 60_000})
	}
	return res, nil
}

func (c *fakeControl) Strike(_ context.Context, r *rpc.StrikeRequest) (*rpc.StrikeResponse, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.strikes = append(c.strikes, r.Strike)
	id := view.StrikeID(r.Strike.Workspace, r.Strike.Fingerprint)
	row := &coordpb.Strikes{Workspace: r.Strike.Workspace, Fingerprint: r.Strike.Fingerprint, ExpiresUnixMs: r.Strike.ExpiresUnixMs}
	if standing := c.snapshot.Strikes[id]; standing != nil {
		row.Attempts = standing.Attempts
	}
	row.Attempts = append(slices.Clone(row.Attempts), r.Strike.Attempt)
	c.publish(func(s *view.Snapshot) {
		s.Strikes = cloned(s.Strikes)
		s.Strikes[id] = row
	})
	return &rpc.StrikeResponse{Strikes: uint32(len(row.Attempts))}, nil
}

func (c *fakeControl) struck() []*coordpb.RecordStrike {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.strikes)
}

// struckBody returns the body of the execution that a strike is about.
func (c *fakeControl) struckBody(target *engine.Target, strike *coordpb.RecordStrike) string {
	for _, execution := range target.Executions() {
		if execution.Attempt == strike.Attempt {
			return execution.Body
		}
	}
	return ""
}

func (c *fakeControl) waiting() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.demanded
}

func (c *fakeControl) grantNothing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dry = true
}
