package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/events"
	"cowsliptiller/server/gen/callers"
	callersserver "cowsliptiller/server/gen/http/callers/server"
	"cowsliptiller/server/inbound"
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
func listen(ctx context.Context, address string) (net.Listener, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
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
		Now: e.cfg.Now, IdleLimit: func() time.Duration { return callerIdle }, HeaderTimeout: headerTimeout,
		MaxConnections: maxConnections, OnCut: e.connectionCut,
	})
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
		w.Header().Set("Connection", "close")
		writeRefusal(w, err, record.id)
		return
	}
	defer done()
	answer := &answerWriter{ResponseWriter: w, record: record}
	ctx := context.WithValue(r.Context(), recordKey{}, record)
	r.Body = http.MaxBytesReader(w, r.Body, e.cfg.Settings.MaxBodyBytes)
	record.connection = http.NewResponseController(w)
	// The last answer on this connection may have left its own deadline.
	_ = record.connection.SetWriteDeadline(time.Time{})
	_ = record.connection.SetReadDeadline(time.Now().Add(bodyTimeout))
	next.ServeHTTP(answer, r.WithContext(ctx))
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
}

// bodyRead ends the bound on the body, so that the connection can be watched
// for a caller who goes away while the answer is awaited.
func (r *record) bodyRead() {
	if r.connection != nil {
		_ = r.connection.SetReadDeadline(time.Time{})
	}
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

// bodyError turns an error of reading a caller's body into a refusal.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return fault.New(fault.TooLarge, "the body is over %d bytes", tooLarge.Limit)
	case errors.As(err, &timeout) && timeout.Timeout():
		return fault.New(fault.Expired, "the body did not come within %s", bodyTimeout)
	}
	return fault.WithRan(fault.New(fault.Canceled, "the request broke off"), fault.RanNo, true)
}
