package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"

	"cowsliptiller/coord/connlimit"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/events"
	"cowsliptiller/server/gen/callers"
	callersserver "cowsliptiller/server/gen/http/callers/server"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/socket"
)

// Limits towards callers, whose behaviour nothing vouches for.
const (
	headerTimeout  = 5 * time.Second  // to send a request's header
	bodyTimeout    = 30 * time.Second // to send a request's body
	callerIdle     = 2 * time.Minute  // a kept connection without a request
	writeTimeout   = 20 * time.Second // for a caller to take a part of the answer
	maxHeaderBytes = 32 << 10
	// maxConnections is above MaxRequests, so that a caller without a request
	// in progress keeps nobody out, and below a small host's file descriptors.
	maxConnections = 16 << 10
	// maxHeldBytes bounds the request bodies that wait or run here.
	maxHeldBytes = 256 << 20
)

// listen opens the callers' listener.
func listen(address string, limits connlimit.Sockets) (net.Listener, error) {
	listener, err := socket.Listen("tcp", address, limits)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "--entry-address %s: %v", address, err)
	}
	return listener, nil
}

func newServer(handler http.Handler, callers *inbound.Set) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         callers.TrackState,
	}
}

func (e *Entry) newCallers() *inbound.Set {
	return inbound.NewSet(inbound.Options{
		Now: e.cfg.Now, IdleLimit: func() time.Duration { return callerIdle },
		HeaderLimits: func() inbound.HeaderLimits {
			return inbound.HeaderLimits{Timeout: headerTimeout, Bytes: maxHeaderBytes}
		},
		MaxConnections: e.maxConnections(), MaxHeaderBytes: e.cfg.Limits.HeaderBytes(),
		OnFull: e.cfg.Bodies.ShedStalled, OnCut: e.connectionCut,
	})
}

func (e *Entry) maxConnections() int {
	if e.cfg.Limits.Files == 0 {
		return maxConnections
	}
	return min(maxConnections, e.cfg.Limits.Connections().Callers)
}

// sweepInterval is the interval between scans for idle connections.
const sweepInterval = 500 * time.Millisecond

func (e *Entry) sweepIdle(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.callers.CloseIdle()
		}
	}
}

// drainPoll is how often a draining entry host checks for connections.
const drainPoll = 20 * time.Millisecond

// drainConnections returns when all requests that have arrived are answered and their
// connections closed, or with the context's error.
func (e *Entry) drainConnections(ctx context.Context) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !e.connectionsDrained() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (e *Entry) connectionsDrained() bool {
	stopped := e.listener.Stop()
	e.callers.CloseDrained(inbound.DrainLimits)
	return stopped && e.callers.Empty()
}

// connectionCut logs and counts a connection that was closed with a request without an answer.
func (e *Entry) connectionCut(cut inbound.Cut) {
	revision := uint64(0)
	if s := e.cfg.Source.Current(); s != nil && s.Configuration != nil {
		revision = s.Configuration.Revision
	}
	e.events.ConnectionCut(events.ConnectionCut{
		Reason: string(cut.Reason), Held: string(cut.Held), Idle: cut.Idle, Limit: cut.Limit, Version: revision,
	})
	e.metrics.ConnectionCut(string(cut.Reason), string(cut.Held))
}

// handler puts the generated API behind what every request goes through.
func (e *Entry) handler() http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := callers.NewEndpoints(&service{entry: e})
	api := callersserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, e.writeFailed, refusalOf)
	callersserver.Mount(mux, api)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.take(mux, w, r) })
}

// take sees a request from its arrival to its end.
func (e *Entry) take(next http.Handler, w http.ResponseWriter, r *http.Request) {
	record := &record{id: uuid.NewString(), begun: e.cfg.Now()}
	w.Header().Set("Request-Id", record.id)
	defer e.account(record)
	done, err := e.work.Enter()
	if err != nil {
		record.err = err
		intake.Abandon(w, r)
		writeRefusal(w, err, record.id)
		return
	}
	defer done()
	answer := &answerWriter{ResponseWriter: w, record: record}
	ctx := context.WithValue(r.Context(), recordKey{}, record)
	record.connection, record.writer, record.request = http.NewResponseController(w), w, r
	// The last answer on this connection may have left its own deadline.
	_ = record.connection.SetWriteDeadline(time.Time{})
	defer func() { record.body.Release() }()
	next.ServeHTTP(answer, r.WithContext(ctx))
	if record.body == nil {
		intake.Discard(w, r)
	}
}

// account measures and logs the end of a request.
func (e *Entry) account(record *record) {
	took := e.cfg.Now().Sub(record.begun)
	e.metrics.Answered(record.workspace, record.class, record.err, took)
	log := e.log.With("request_id", record.id, "workspace", record.workspace, "class", record.class, "took", took)
	if record.err == nil {
		log.Debug("answered")
		return
	}
	failure := fault.From(record.err)
	log.Info("refused", "kind", failure.Kind, "ran", failure.Ran, "message", failure.Message)
}

// writeFailed is told when the generated code could not write an answer.
func (e *Entry) writeFailed(ctx context.Context, _ http.ResponseWriter, err error) {
	record := recordOf(ctx)
	if record.err == nil {
		record.err = fault.New(fault.Canceled, "the caller went away")
	}
	e.log.Debug("answer not written", "request_id", record.id, "error", err)
}

// record is what is known of a request for its log line, its metrics and its
// answer's head. It is used by the request's goroutine.
type record struct {
	id        string
	begun     time.Time
	workspace string
	class     string
	status    int // of a plain service's answer; 0: as the API says
	err       error

	connection *http.ResponseController
	writer     http.ResponseWriter
	request    *http.Request
	body       *intake.Body // nil: not read, or the request has none
}

// readBody reads the body of the record's request.
func (e *Entry) readBody(r *record) ([]byte, error) {
	body, err := e.cfg.Bodies.Read(r.writer, r.request, intake.Source{
		Workspace: r.workspace, Arrived: r.begun, Limit: e.cfg.Settings.MaxBodyBytes, Deadline: time.Now().Add(bodyTimeout),
		Owner: e,
	})
	r.body = body
	return body.Bytes(), err
}

type recordKey struct{}

func recordOf(ctx context.Context) *record {
	if r, ok := ctx.Value(recordKey{}).(*record); ok {
		return r
	}
	return &record{}
}

// answerWriter puts a plain service's own status in place of the API's 200.
type answerWriter struct {
	http.ResponseWriter
	record *record
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	if status == http.StatusOK && w.record.status != 0 {
		status = w.record.status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap serves http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
