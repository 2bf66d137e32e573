package agent

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/framing"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/view"
	"cowsliptiller/server/wire"
)

// run answers one attempt of an entry host. The status is 200 whenever the head
// was understood: what happened stands in the frames.
func (a *Agent) run(w http.ResponseWriter, r *http.Request) {
	req, err := wire.ReadHeader(r.Header)
	if err != nil {
		http.Error(w, fault.From(err).Message, http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	out := wire.NewWriter(req.Attempt, w, http.NewResponseController(w).Flush)
	log := a.log.With("request_id", req.ID, "attempt", req.Attempt, "workspace", req.Workspace)
	begun := a.cfg.Now()
	err = a.serve(r.Context(), req, func() (*intake.Body, error) { return a.readBody(w, r, req) }, out, log)
	a.metrics.Served(err, a.cfg.Now().Sub(begun))
	if err == nil {
		return
	}
	log.Info("attempt failed", "kind", fault.From(err).Kind, "ran", fault.From(err).Ran, "message", fault.From(err).Message)
	failure := wire.FailureFromError(err)
	failure.Crashed = errors.Is(err, errCrashed)
	failure.Load = a.load(fault.Is(err, fault.NotHere))
	if out.Fail(failure) != nil {
		panic(http.ErrAbortHandler)
	}
}

// serve runs one attempt to its end frame. An error that comes before the
// hand-over to the target says that nothing ran.
func (a *Agent) serve(ctx context.Context, req *wire.Request, read func() (*intake.Body, error), out *wire.Writer, log hclog.Logger) error {
	leave, err := a.work.Enter()
	if err != nil {
		return err
	}
	defer leave()
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	body, err := read()
	if err != nil {
		return notRun(err)
	}
	defer body.Release()
	if err := a.attempts.begin(req.Attempt, a.cfg.Now(), req.Timeout); err != nil {
		return err
	}
	release, err := a.admit(ctx, req, body.Bytes())
	if err != nil {
		return notRun(err)
	}
	log.Debug("handed over", "model", req.Model, "service", req.Service)
	tokens, err := a.handOver(ctx, req, body.Bytes(), out)
	release(tokens, err == nil)
	return err
}

func (a *Agent) readBody(w http.ResponseWriter, r *http.Request, req *wire.Request) (*intake.Body, error) {
	now := time.Now()
	return a.cfg.Bodies.Read(w, r, intake.Source{Workspace: req.Workspace, Arrived: now, Limit: a.cfg.MaxBody, Deadline: now.Add(req.Timeout)})
}

// admit returns once the request may be handed to the target; release must
// follow. The key is checked last, after all waiting: a key can be withdrawn
// while its requests wait, and those must not start.
func (a *Agent) admit(ctx context.Context, req *wire.Request, body []byte) (release func(tokens int64, ok bool), err error) {
	if err := a.permitted(req); err != nil {
		return nil, err
	}
	letGo, err := a.hold(ctx, req)
	if err != nil {
		letGo()
		return nil, err
	}
	turns := a.queue()
	if err := turns.enter(ctx, req, body); err != nil {
		letGo()
		return nil, err
	}
	release = func(tokens int64, ok bool) {
		turns.done(req.Attempt, tokens, ok)
		letGo()
	}
	if err := cmp.Or(a.permitted(req), ctx.Err()); err != nil {
		release(0, false)
		return nil, err
	}
	return release, nil
}

// permitted checks that this agent may start a request of the key's workspace
// now. A key that the view does not know yet was given after the view was made:
// the entry host checked it, so it may pass; a withdrawn one may not.
func (a *Agent) permitted(req *wire.Request) error {
	if !a.cfg.Source.Fresh(a.cfg.Now()) {
		return fault.New(fault.Stale, "the agent's view is not fresh")
	}
	snapshot, _, ok := a.spec()
	if !ok {
		return fault.New(fault.NotHere, "this target is not in the configuration")
	}
	if m := a.memory(); m == nil || !m.alive() {
		return fault.New(fault.Unavailable, "the target does not answer")
	}
	if a.takesNoWork(snapshot) {
		return fault.New(fault.Leaving, "this target is leaving")
	}
	for _, key := range snapshot.Keys {
		if key.KeyId != req.KeyID {
			continue
		}
		if key.Withdrawn || key.Workspace != req.Workspace {
			return errWithdrawn()
		}
	}
	return nil
}

// hold keeps the model and the adapter in memory while the request waits and
// runs. The caller calls letGo also after an error.
func (a *Agent) hold(ctx context.Context, req *wire.Request) (letGo func(), err error) {
	snapshot, spec, _ := a.spec()
	if req.Service != "" {
		if spec.Service != req.Service {
			return func() {}, fault.New(fault.NotHere, "this target runs another service")
		}
		return func() {}, nil
	}
	if a.unloading(snapshot, req.Model) {
		return func() {}, fault.New(fault.NotHere, "the model is being unloaded here")
	}
	m := a.memory()
	letModel, err := m.use(req.Model)
	if err != nil {
		return func() {}, err
	}
	letAdapter, err := a.prepare(ctx, m, req)
	return func() {
		letAdapter()
		letModel()
		if current, _, ok := a.spec(); ok && a.unloading(current, req.Model) {
			a.nudge()
		}
	}, err
}

// unloading reports whether the model is to go. It then takes no new request,
// or a steady stream of them would keep it in memory for good.
func (a *Agent) unloading(snapshot *view.Snapshot, model string) bool {
	for _, r := range snapshot.Replicas[model] {
		if r.Target == a.cfg.Settings.Target {
			return r.State == coordpb.ReplicaState_REPLICA_STATE_UNLOAD
		}
	}
	return false
}

// handOver calls the target and relays its answer. It returns the tokens used.
func (a *Agent) handOver(ctx context.Context, req *wire.Request, body []byte, out *wire.Writer) (int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer a.memory().watch(func() {
		cancel(fault.New(fault.TargetFailed, "the target has stopped answering"))
	})()
	reply, err := a.target.Call(ctx, callOf(req, body))
	if err != nil {
		return 0, a.blame(ctx, req, err)
	}
	defer reply.Body.Close()
	tokens, err := a.relay(ctx, cancel, req, reply, out)
	if err != nil {
		return 0, a.blame(ctx, req, err)
	}
	return tokens, nil
}

func callOf(req *wire.Request, body []byte) *Call {
	return &Call{
		Attempt:     req.Attempt,
		Workspace:   req.Workspace,
		Priority:    req.Priority,
		Model:       req.Model,
		Path:        req.Path,
		Name:        req.Call,
		ContentType: req.ContentType,
		Body:        body,
		Repeatable:  req.Repeatable,
	}
}

// relay passes the answer on as it comes. A pause beyond the silence bound ends
// the call: a connection that has gone silent gives no error by itself.
func (a *Agent) relay(ctx context.Context, cancel context.CancelCauseFunc, req *wire.Request, reply *Reply, out *wire.Writer) (int64, error) {
	accepted := &rpc.Accepted{Status: uint32(reply.Status), ContentType: reply.ContentType, Load: a.load(false)}
	if err := out.WriteAccepted(accepted); err != nil {
		return 0, gone()
	}
	silent := time.AfterFunc(a.cfg.Silence, func() {
		cancel(fault.New(fault.StreamBroken, "the target has been silent for %s", a.cfg.Silence))
	})
	defer silent.Stop()
	var tokens usage
	var scanner framing.EventScanner
	buffer := make([]byte, wire.MaxChunk)
	for passed := int64(0); ; {
		n, err := reply.Body.Read(buffer)
		silent.Reset(a.cfg.Silence)
		if passed == 0 && n > 0 {
			a.queue().firstToken(req.Attempt)
		}
		passed += int64(n)
		if passed > a.cfg.MaxAnswer {
			return 0, fault.WithRan(fault.New(fault.TooLarge, "the answer is over %d bytes", a.cfg.MaxAnswer), fault.RanYes, false)
		}
		tokens.Write(buffer[:n])
		_, _ = scanner.Write(buffer[:n])
		if _, writeErr := out.Write(buffer[:n]); writeErr != nil {
			return 0, gone()
		}
		if err == nil {
			continue
		}
		end := reply.end(&scanner, err)
		if end == framing.Complete {
			end = framing.Confirm(reply.Framing, func() framing.Sender { return a.sender(ctx) })
		}
		a.metrics.AnswerEnded(reply.Framing, end)
		if end != framing.Complete {
			return 0, truncated(ctx, end, err)
		}
		return a.finish(out, &tokens)
	}
}

func (a *Agent) finish(out *wire.Writer, tokens *usage) (int64, error) {
	prompt, generated := tokens.Tokens()
	end := &rpc.End{PromptTokens: prompt, GeneratedTokens: generated, Load: a.load(false)}
	if out.End(end) != nil {
		return 0, gone()
	}
	return prompt + generated, nil
}

func gone() error {
	return fault.New(fault.Canceled, "the entry host went away")
}

// truncated is the failure of an answer that is not complete; err is the error of its last read.
func truncated(ctx context.Context, end framing.End, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if err == io.EOF {
		return fault.New(fault.StreamBroken, "the target's answer is truncated: %s", end)
	}
	return fault.New(fault.StreamBroken, "the target broke off its answer: %s", reason(err))
}

// notRun states that an error came before the hand-over to the target.
func notRun(err error) error {
	switch e := fault.From(err); e.Kind {
	case fault.Timeout:
		return fault.New(fault.Expired, "the deadline passed before the target was asked")
	case fault.Canceled, fault.Internal:
		return fault.WithRan(err, fault.RanNo, true)
	default:
		return err
	}
}

// load reports how busy the target is, with its models where that helps the
// entry host to mend its view.
func (a *Agent) load(withModels bool) *rpc.LoadReport {
	turns := a.queue()
	if turns == nil {
		return nil
	}
	report := turns.load()
	if withModels {
		report.Models = a.memory().loaded()
	}
	return report
}
