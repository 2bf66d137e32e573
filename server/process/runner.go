package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/connlimit"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/inbound"
)

// closeTimeout bounds the shutdown of the listeners after a drain, when only connections
// without a request should be left.
const closeTimeout = 5 * time.Second

// Runner runs the roles of one process from startup to shutdown.
type Runner struct {
	InternalAddress string // IP:port
	HealthAddress   string // IP:port; empty: no health listener
	DrainTimeout    time.Duration
	Secret          *Secret
	Roles           []Role // in the order in which they drain: entry, agent, control
	Registry        *prometheus.Registry
	Connections     connlimit.Shares // 0: no limit
	Log             hclog.Logger

	health           *health
	servers          []*http.Server
	serveErrors      chan error
	shutdownDeadline time.Time // zero until a shutdown was requested
}

// Run starts the listeners and the roles, and returns after a graceful shutdown, which
// starts when stop is closed. If abort is closed as well, Run returns without waiting
// for running requests.
func (r *Runner) Run(stop, abort <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.health = &health{roles: r.Roles}
	r.serveErrors = make(chan error, 2)
	defer r.closeServers()
	if err := r.listen(); err != nil {
		return err
	}
	for i, role := range r.Roles {
		if err := role.Start(ctx); err != nil {
			r.closeRoles(r.Roles[:i])
			return err
		}
		r.Log.Info("role started", "role", role.Name())
	}
	defer r.closeRoles(r.Roles)
	select {
	case <-stop:
	case err := <-r.serveErrors:
		return err
	}
	return r.drain(abort)
}

func (r *Runner) listen() error {
	internal := http.NewServeMux()
	for _, role := range r.Roles {
		role.Mount(internal)
	}
	if err := r.serve(r.InternalAddress, InternalServer(r.Secret, internal), r.Connections.Other); err != nil {
		return err
	}
	if r.HealthAddress == "" {
		return nil
	}
	server := &http.Server{Handler: r.health.handler(r.Registry), ReadHeaderTimeout: closeTimeout}
	return r.serve(r.HealthAddress, server, r.Connections.Other)
}

// serve serves at most limit connections; 0: no limit.
func (r *Runner) serve(address string, server *http.Server, limit int) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fault.New(fault.InvalidRequest, "listen on %s: %v", address, err)
	}
	r.servers = append(r.servers, server)
	go func() {
		if err := server.Serve(inbound.Limited(l, limit)); !errors.Is(err, http.ErrServerClosed) {
			r.serveErrors <- err
		}
	}()
	return nil
}

// drain waits for running requests. The internal listener stays open meanwhile: an
// entry host still needs its agents, and they need control.
func (r *Runner) drain(abort <-chan struct{}) error {
	r.health.stopping.Store(true)
	r.Log.Info("shutting down: waiting for running requests", "at_most", r.DrainTimeout)
	r.shutdownDeadline = time.Now().Add(r.DrainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), r.shutdownDeadline)
	defer cancel()
	go func() {
		select {
		case <-abort:
			cancel()
		case <-ctx.Done():
		}
	}()
	for _, role := range r.Roles {
		if err := role.Drain(ctx); err != nil {
			r.Log.Warn("drain incomplete", "role", role.Name(), "error", err)
			return err
		}
	}
	r.Log.Info("drained")
	return nil
}

func (r *Runner) closeRoles(roles []Role) {
	for _, role := range roles {
		if err := role.Close(); err != nil {
			r.Log.Warn("closing the role failed", "role", role.Name(), "error", err)
		}
	}
}

// closeServers shuts down the listeners. It waits for running calls of other processes
// only until shutdownDeadline: with all of closeTimeout on top of a long drain, the
// process exceeded its termination grace period and was killed.
func (r *Runner) closeServers() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if !r.shutdownDeadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, r.shutdownDeadline)
		defer cancel()
	}
	for _, s := range r.servers {
		if s.Shutdown(ctx) != nil {
			_ = s.Close()
		}
	}
}
