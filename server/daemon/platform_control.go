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
	"cowsliptiller/server/discovery"
	"cowsliptiller/server/events"
	"cowsliptiller/server/inbound"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/pack"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/socket"
)

// platformControl is what a process serves of control on the platform: the operator's
// calls on every host that is told to, a member of the group where there is a disk.
type platformControl struct {
	builder *platformBuilder
	server  *http.Server
	// operators serves the operators' API; nil: it is not served
	operators *http.Server
	stop      context.CancelFunc
	stopped   sync.WaitGroup
}

// Name implements process.Role.
func (c *platformControl) Name() string { return settings.RoleControl }

// Mount implements process.Role.
func (c *platformControl) Mount(internal *http.ServeMux) {
	b := c.builder
	directory := discovery.NewDirectory(b.process.DataFolder != "", b.follower, b.group, time.Now)
	internal.Handle(rpc.DirectoryPathPrefix, rpc.NewDirectoryServer(directory))
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
	c.stopped.Go(func() { b.finder().Run(ctx) })
	if b.member != nil {
		b.member.Start()
		c.stopped.Go(func() { b.board.Run(ctx) })
		c.stopped.Go(func() { b.announcer().Run(ctx) })
	}
	c.startOperators()
	if b.process.ListenControl == "" {
		return nil
	}
	l, err := b.listen(b.process.ListenControl)
	if err != nil {
		return err
	}
	handler := b.bodies.Handler(platform.OperatorHandler(operator{b.control, b.events}), intake.HandlerOptions{
		Limit: platform.MaxDocumentBytes, Timeout: documentTime, Large: largeDocument, Refuse: platform.WriteError,
	})
	c.server = &http.Server{Handler: handler, ReadHeaderTimeout: operatorTime, IdleTimeout: operatorIdle}
	limited := inbound.Limited(l, b.limits.Connections().Other)
	go func() {
		if err := c.server.Serve(limited); err != http.ErrServerClosed {
			b.log.Error("operator's listener ended", "error", err)
		}
	}()
	return nil
}

const (
	operatorTime = 10 * time.Second
	operatorIdle = time.Minute
	// documentTime is for the whole document.
	documentTime  = 30 * time.Second
	largeDocument = 1 << 20
)

func (b *platformBuilder) finder() *discovery.Finder {
	return discovery.NewFinder(discovery.FinderConfig{
		Seeds: b.seeds, Locate: b.locate, Suggest: b.follower.Suggest, KnownControl: b.follower.Addresses,
		Members:       func() []string { return b.group().Addresses },
		Follows:       func() bool { return b.follower.Fresh(time.Now()) },
		OnLocateError: func(seed string, err error) { b.log.Debug("a seed does not answer", "seed", seed, "error", err) },
		Events:        b.events, Registry: b.registry, Now: time.Now,
	})
}

func (b *platformBuilder) announcer() *discovery.Announcer {
	return discovery.NewAnnouncer(discovery.AnnouncerConfig{
		OwnAddress: b.process.InternalAddress(b.process.IP), Seeds: b.seeds, Recipients: b.audience, Announce: b.announce, Now: time.Now,
	})
}

// Ready implements process.Role.
func (c *platformControl) Ready() error { return nil }

// Drain implements process.Role. It comes last: what runs still needs control.
func (c *platformControl) Drain(ctx context.Context) error {
	if c.builder.member != nil {
		c.builder.member.Stop(ctx)
	}
	return nil
}

// Close implements process.Role.
func (c *platformControl) Close() error {
	c.stop()
	if c.server != nil {
		_ = c.server.Close()
	}
	if c.operators != nil {
		_ = c.operators.Close()
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

func (c *platformControl) evacuations() []*coordpb.Evacuation {
	role := c.builder.member.Role()
	if role == nil {
		return nil
	}
	return role.Evacuations()
}

func (c *platformControl) deployment() *coordpb.Deployment {
	role := c.builder.member.Role()
	if role == nil {
		return nil
	}
	return role.Deployment()
}

// operator implements platform.Operator over whichever control process answers.
type operator struct {
	control rpc.Control
	events  *events.Log
}

// Adopt implements platform.Operator.
func (o operator) Adopt(ctx context.Context, d *coordpb.Deployment, source []byte) error {
	start := time.Now()
	err := o.adopt(ctx, d, source)
	o.events.DeploymentOffered(d.Version, len(source), time.Since(start), err)
	return err
}

func (o operator) adopt(ctx context.Context, d *coordpb.Deployment, source []byte) error {
	a := &coordpb.AdoptDeployment{Deployment: d, Source: source}
	if len(source) >= pack.MinSize {
		a.Source, a.SourcePacked = pack.CompressFast(source), true
	}
	request, err := rpc.CompressAdopt(a)
	if err != nil {
		return err
	}
	_, err = o.control.Adopt(ctx, request)
	return rpc.FromTwirp(err)
}

// platformOperator names the platform's operators in the audit trail; they have no names of
// their own on this way.
const platformOperator = "platform operator"

// Evacuate implements platform.Operator.
func (o operator) Evacuate(ctx context.Context, failureDomain string, evacuated bool) error {
	start := time.Now()
	resp, err := o.control.Evacuate(ctx, &rpc.EvacuateRequest{FailureDomain: failureDomain, Evacuated: evacuated, Actor: platformOperator})
	err = rpc.FromTwirp(err)
	o.events.EvacuationRequested(failureDomain, evacuated, resp.GetRevision(), time.Since(start), err)
	return err
}

// Document implements platform.Operator.
func (o operator) Document(ctx context.Context) ([]byte, error) {
	start := time.Now()
	source, err := o.source(ctx)
	o.events.DeploymentRead(len(source), time.Since(start), err)
	return source, err
}

func (o operator) source(ctx context.Context) ([]byte, error) {
	resp, err := o.control.Source(ctx, &rpc.SourceRequest{})
	if err != nil {
		return nil, rpc.FromTwirp(err)
	}
	if len(resp.Source) == 0 {
		return nil, fault.New(fault.Unavailable, "no deployment was adopted yet")
	}
	if resp.Packed {
		return pack.Decompress(resp.Source, rpc.MaxDeploymentBytes)
	}
	return resp.Source, nil
}

func (b *platformBuilder) listen(address string) (net.Listener, error) {
	l, err := socket.Listen("tcp4", address, b.limits.Sockets())
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "listen on %s: %v", address, err)
	}
	return l, nil
}
