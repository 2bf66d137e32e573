package entry

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
	"cowsliptiller/server/view"
)

const bearer = "Bearer "

// Rough sizes for charging a request before it runs; what it did not use is
// given back when its answer tells.
const (
	bytesPerToken    = 4    // English text
	defaultMaxTokens = 1024 // when the request names no maximum
	// mostTokens bounds what a request may ask for. It is above any model's context;
	// without it a number near the largest integer overflows the sum with the prompt,
	// and a negative charge would add to the workspace's tokens.
	mostTokens = 1 << 30
)

// head is what a caller sends beside the body, whatever the method.
type head struct {
	authorization  *string
	idempotencyKey *string
	deadlineMs     *int64
	class          *string
	contentType    *string
}

// call is one caller's request.
type call struct {
	id          string
	workspace   config.WorkspaceSpec
	keyID       string
	digest      view.Digest // of the caller's key
	class       config.ClassSpec
	begun       time.Time
	deadline    time.Time
	model       string // engines: base model
	adapter     string // engines: adapter, if any
	service     string // plain services
	path        string // at the target, with a leading slash
	key         string // idempotency key; empty for calls that may be repeated
	contentType string
	body        []byte
	tokens      int64
	fingerprint []byte
	life        *request.Call // its attempts and its one answer
	attempts    int
	handedOver  time.Time // begin of the newest attempt
	waits       int       // pauses in which no target could take it
	cold        bool      // waited for its model to be loaded
	alone       bool      // run while nothing else runs: a target crashed under it
}

// authenticate finds whose key came. The key itself is used for its digest
// alone: it is kept nowhere and goes to no agent and no target.
func authenticate(snapshot *view.Snapshot, authorization *string) (*coordpb.Key, config.WorkspaceSpec, error) {
	if authorization == nil || !strings.HasPrefix(*authorization, bearer) {
		return nil, config.WorkspaceSpec{}, fault.New(fault.Unauthenticated, "the Authorization header holds no bearer key")
	}
	digest := view.Digest(sha256.Sum256([]byte(strings.TrimPrefix(*authorization, bearer))))
	key, ok := snapshot.Keys[digest]
	if !ok || key.Withdrawn {
		return nil, config.WorkspaceSpec{}, fault.New(fault.Unauthenticated, "the key is not known")
	}
	workspace, ok := snapshot.Configuration.Workspaces[key.Workspace]
	if !ok {
		return nil, config.WorkspaceSpec{}, fault.New(fault.Unauthenticated, "the key's workspace is not in the configuration")
	}
	return key, workspace, nil
}

// begin reads what is common to all calls.
func (e *Entry) begin(ctx context.Context, h *head) (*call, *view.Snapshot, error) {
	record := recordOf(ctx)
	snapshot, err := e.freshView()
	if err != nil {
		return nil, nil, err
	}
	key, workspace, err := authenticate(snapshot, h.authorization)
	if err != nil {
		return nil, nil, err
	}
	record.workspace = workspace.Name
	e.catchUp(snapshot)
	body, err := e.readBody(record)
	if err != nil {
		return nil, nil, err
	}
	c := &call{id: record.id, workspace: workspace, keyID: key.KeyId, digest: view.Digest(key.Digest), begun: record.begun, body: body, contentType: text(h.contentType)}
	return c, snapshot, nil
}

// modelCall reads a call to a model engine.
func (e *Entry) modelCall(ctx context.Context, h *head, path string) (*call, error) {
	c, snapshot, err := e.begin(ctx, h)
	if err != nil {
		return nil, err
	}
	var asked struct {
		Model     string `json:"model"`
		MaxTokens int64  `json:"max_tokens"`
	}
	if err := json.Unmarshal(c.body, &asked); err != nil {
		return nil, fault.New(fault.InvalidRequest, "the body is not the customary JSON object")
	}
	model, adapter, ok := snapshot.Configuration.ResolveModel(asked.Model)
	if !ok || !c.workspace.MayUseModel(asked.Model) {
		return nil, fault.New(fault.NotFound, "the workspace has no model of this name")
	}
	if asked.MaxTokens < 0 || asked.MaxTokens > mostTokens {
		return nil, fault.New(fault.InvalidRequest, "max_tokens must be from 0 to %d", mostTokens)
	}
	c.model, c.adapter, c.path = model, adapter, path
	c.tokens = promptTokens(c.body) + maxTokens(asked.MaxTokens)
	return c, e.classify(ctx, c, snapshot, h, snapshot.Configuration.DefaultClass)
}

// serviceCall reads a call to a plain service.
func (e *Entry) serviceCall(ctx context.Context, h *head, service, path string) (*call, error) {
	c, snapshot, err := e.begin(ctx, h)
	if err != nil {
		return nil, err
	}
	spec, ok := snapshot.Configuration.Services[service]
	if !ok || !c.workspace.MayUseService(service) {
		return nil, fault.New(fault.NotFound, "the workspace has no service of this name")
	}
	described, ok := spec.Calls[path]
	if !ok {
		return nil, fault.New(fault.NotFound, "the service has no call at this path")
	}
	c.service, c.path, c.tokens = service, "/"+path, described.Tokens
	// A caller may not name a class for a service's call: it could make one
	// that may not be repeated repeatable.
	return c, e.classify(ctx, c, snapshot, &head{deadlineMs: h.deadlineMs, idempotencyKey: h.idempotencyKey}, described.Class)
}

// classify finds the class of call and the deadline.
func (e *Entry) classify(ctx context.Context, c *call, snapshot *view.Snapshot, h *head, otherwise string) error {
	name := otherwise
	if h.class != nil {
		name = *h.class
	}
	class, ok := snapshot.Configuration.Classes[name]
	if !ok {
		return fault.New(fault.InvalidRequest, "there is no class of call of this name")
	}
	c.class = class
	recordOf(ctx).class = class.Name
	c.deadline = c.begun.Add(class.Deadline)
	if h.deadlineMs != nil {
		c.deadline = earlier(c.deadline, c.begun.Add(time.Duration(*h.deadlineMs)*time.Millisecond))
	}
	if !class.Repeatable {
		c.key = text(h.idempotencyKey)
	}
	c.fingerprint = fingerprint(c)
	c.life = request.NewCall(c.id, c.workspace.Name, request.NewClass(class), c.deadline)
	return quarantined(snapshot, c)
}

// nextAttempt returns the id of the next attempt.
func (c *call) nextAttempt() string {
	c.attempts++
	return fmt.Sprintf("%s-%d", c.id, c.attempts)
}

// fingerprint names what a request asks for, whoever sends it again.
func fingerprint(c *call) []byte {
	f := request.FingerprintOf(c.workspace.Name, destinationOf(c), c.path, c.body)
	return f[:]
}

func promptTokens(body []byte) int64 {
	return int64((len(body) + bytesPerToken - 1) / bytesPerToken)
}

func maxTokens(asked int64) int64 {
	if asked <= 0 {
		return defaultMaxTokens
	}
	return asked
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func text(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}
