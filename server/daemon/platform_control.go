package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/platform"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
)

// platformControl is what a process serves of control on the platform: the operator's
// calls on every host that is told to, a member of the group where there is a disk.
type platformControl struct {
	builder *platformBuilder
	server  *http.Server
	stop    context.CancelFunc
	stopped sync.WaitGroup
}

// Name implements process.Role.
func (c *platformControl) Name() string { return settings.RoleControl }

// Mount implements process.Role.
func (c *platformControl) Mount(internal *http.ServeMux) {
	b := c.builder
	internal.Handle(rpc.DirectoryPathPrefix, rpc.NewDirectoryServer(b))
	if b.member != nil {
		internal.Handle(rpc.ControlPathPrefix, b.member)
		internal.Handle(rpc.PeerPathPrefix, b.member)
		internal.Handle(rpc.BoardPathPrefix, rpc.NewBoardServer(b.board))
	}
}

// Start implements process.Role.
func (c *platformControl) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	b := c.builder
	c.stopped.Go(func() { c.findControl(ctx) })
	if b.member != nil {
		b.member.Start()
		c.stopped.Go(func() { b.board.Run(ctx) })
	}
	if b.process.ListenControl == "" {
		return nil
	}
	l, err := listen(b.process.ListenControl)
	if err != nil {
		return err
	}
	c.server = &http.Server{Handler: platform.OperatorHandler(operator{b.control}), ReadHeaderTimeout: operatorTime, IdleTimeout: operatorIdle}
	go func() {
		if err := c.server.Serve(l); err != http.ErrServerClosed {
			b.log.Error("operator's listener ended", "error", err)
		}
	}()
	return nil
}

const (
	operatorTime = 10 * time.Second
	operatorIdle = time.Minute
	// findInterval is how often the seeds are asked while control is not known.
	findInterval = 200 * time.Millisecond
)

// findControl learns the control processes from the seeds while this process does
// not follow any.
func (c *platformControl) findControl(ctx context.Context) {
	b := c.builder
	for ctx.Err() == nil {
		if !b.follower.Fresh(time.Now()) {
			c.askSeeds(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(findInterval):
		}
	}
}

func (c *platformControl) askSeeds(ctx context.Context) {
	b := c.builder
	b.mu.Lock()
	seeds := b.seeds()
	b.mu.Unlock()
	f := finder{locate: b.locate, suggest: b.follower.Suggest, silent: func(seed string, err error) {
		b.log.Debug("a seed does not answer", "seed", seed, "error", err)
	}}
	f.ask(ctx, seeds)
}

// Ready implements process.Role.
func (c *platformControl) Ready() error { return nil }

// Drain implements process.Role. It comes last: what runs still needs control.
func (c *platformControl) Drain(context.Context) error {
	if c.builder.member != nil {
		c.builder.member.Stop()
	}
	return nil
}

// Close implements process.Role.
func (c *platformControl) Close() error {
	c.stop()
	if c.server != nil {
		_ = c.server.Close()
	}
	c.stopped.Wait()
	return nil
}

func (c *platformControl) leading() (uint64, bool) {
	role := c.builder.member.Role()
	if role == nil {
		return 0, false
	}
	st := role.Status()
	return st.Term, st.Leading
}

func (c *platformControl) deployment() *coordpb.Deployment {
	role := c.builder.member.Role()
	if role == nil {
		return nil
	}
	return role.Deployment()
}

// operator implements platform.Operator over whichever control process answers.
type operator struct{ control rpc.Control }

// Adopt implements platform.Operator.
func (o operator) Adopt(ctx context.Context, d *coordpb.Deployment, source []byte) error {
	_, err := o.control.Adopt(ctx, &rpc.AdoptRequest{Adopt: &coordpb.AdoptDeployment{Deployment: d, Source: source}})
	return rpc.FromTwirp(err)
}

// Source implements platform.Operator.
func (o operator) Source(ctx context.Context) ([]byte, error) {
	resp, err := o.control.Source(ctx, &rpc.SourceRequest{})
	if err != nil {
		return nil, rpc.FromTwirp(err)
	}
	if len(resp.Source) == 0 {
		return nil, fault.New(fault.Unavailable, "no deployment was adopted yet")
	}
	return resp.Source, nil
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "listen on %s: %v", address, err)
	}
	return l, nil
}
