package control

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/fault"
	operatorshttp "cowsliptiller/server/gen/http/operators/server"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/process"
	"cowsliptiller/server/socket"
)

// Bounds on operators' requests. Writing may take a whole withdrawal, which waits
// for up to one freshness lease (a minute at most).
const (
	operatorReadTime  = 30 * time.Second
	operatorWriteTime = 2 * time.Minute
	operatorBody      = config.MaxQuestionnaireBytes + config.MaxQuestionnaireBytes/2 // JSON quotes the text
	// largeOperatorBody is the size from which on bodies are handled one after the other.
	largeOperatorBody = 1 << 20
)

// operatorServer is the operators' listener.
type operatorServer struct {
	role   *Role
	server *http.Server
	bound  net.Addr
}

func newOperatorServer(c *Role) *operatorServer {
	return &operatorServer{role: c}
}

// LimitRequests has the operators' listener read bodies with bodies, within limits. It is called before
// Start.
func (c *Role) LimitRequests(bodies *intake.Reader, limits process.Limits) {
	c.bodies, c.limits = bodies, limits
}

// Handler returns the operators' API with its check of the token.
func (c *Role) Handler() http.Handler { return c.operatorHandler(c.token) }

func (c *Role) operatorHandler(token string) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := operators.NewEndpoints(&operatorsService{c})
	server := operatorshttp.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, c.encodingFailed, formatError)
	server.Mount(mux)
	whole := http.Handler(mux)
	if c.bodies != nil {
		whole = c.bodies.Handler(mux, intake.HandlerOptions{Limit: operatorBody, Timeout: operatorReadTime, Large: largeOperatorBody, Refuse: refuse})
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !authorized(r, token) {
			intake.Discard(w, r)
			refuse(w, fault.New(fault.Unauthenticated, "no valid operator token"))
			return
		}
		if c.bodies == nil {
			r.Body = http.MaxBytesReader(w, r.Body, operatorBody)
		}
		whole.ServeHTTP(w, r)
	})
}

func (o *operatorServer) start() error {
	c := o.role
	if c.settings.Control.OperatorAddress == "" {
		return nil // the platform's operators come another way
	}
	if c.token == "" {
		token, err := readToken(c.settings.Control.OperatorTokenFile)
		if err != nil {
			return err
		}
		c.token = token
	}
	l, err := socket.Listen("tcp", c.settings.Control.OperatorAddress, c.limits.Sockets())
	if err != nil {
		return fault.New(fault.InvalidRequest, "listen on --operator-address %s: %v", c.settings.Control.OperatorAddress, err)
	}
	o.bound = l.Addr()
	o.server = &http.Server{
		Handler: c.Handler(), ReadHeaderTimeout: operatorReadTime,
		ReadTimeout: operatorReadTime, WriteTimeout: operatorWriteTime,
	}
	c.run(func(context.Context) {
		if err := o.server.Serve(inbound.Limited(l, c.limits.Connections().Other)); !errors.Is(err, http.ErrServerClosed) {
			c.logger.Error("operators' listener", "error", err)
		}
	})
	return nil
}

// stop waits for running requests.
func (o *operatorServer) stop(ctx context.Context) error {
	if o.server == nil {
		return nil
	}
	return o.server.Shutdown(ctx)
}

func (o *operatorServer) close() {
	if o.server != nil {
		_ = o.server.Close()
	}
}

// OperatorAddress is where the operators' listener is bound; nil before Start.
func (c *Role) OperatorAddress() net.Addr { return c.operators.bound }

func (c *Role) encodingFailed(_ context.Context, _ http.ResponseWriter, err error) {
	c.logger.Warn("operators' answer not written", "error", err)
}

// refusal is the error body of both APIs.
func refusal(err error) *operators.Refusal {
	f := fault.From(err)
	r := &operators.Refusal{
		Kind: string(f.Kind), Message: f.Message, Ran: string(f.Ran), Repeatable: f.Repeatable,
		RequestID: uuid.NewString(),
	}
	if f.RetryAfter > 0 {
		seconds := int((f.RetryAfter + time.Second - 1) / time.Second)
		r.RetryAfter = &seconds
	}
	return r
}

// formatError forms the body of every error: a refusal of ours as it is, and what
// goa itself refuses, such as a missing field, as an invalid request.
func formatError(_ context.Context, err error) goahttp.Statuser {
	var ours *operators.Refusal
	if errors.As(err, &ours) {
		return &refusalBody{refusalFields{ours.Kind, ours.Message, ours.Ran, ours.Repeatable, ours.RequestID}}
	}
	return &refusalBody{refusalJSON(fault.New(fault.InvalidRequest, "%v", err))}
}

// refusalBody is a refusal that goa's encoder can write.
type refusalBody struct {
	refusalFields
}

// StatusCode implements goahttp.Statuser.
func (b *refusalBody) StatusCode() int { return fault.AnswerFor(fault.Kind(b.Kind)).Status }

// refusalFields has the names of the API's refusal.
type refusalFields struct {
	Kind       string `json:"kind"`
	Message    string `json:"message"`
	Ran        string `json:"ran"`
	Repeatable bool   `json:"repeatable"`
	RequestID  string `json:"request_id"`
}

func refusalJSON(err error) refusalFields {
	r := refusal(err)
	return refusalFields{r.Kind, r.Message, r.Ran, r.Repeatable, r.RequestID}
}

func refuse(w http.ResponseWriter, err error) {
	body := &refusalBody{refusalJSON(err)}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(body.StatusCode())
	_ = json.NewEncoder(w).Encode(body)
}
