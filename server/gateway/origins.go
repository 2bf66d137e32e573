package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/streams"
	"cowsliptiller/server/rpc"
)

// Timing of the exchange of origins between entry hosts.
const (
	// originInterval is the interval at which recorded origins are sent. Those recorded since are
	// lost with their host.
	originInterval = 50 * time.Millisecond
	// originHold is how long an origin waits for a second version: as long as a stream may last.
	originHold    = 30 * time.Second
	originTimeout = 500 * time.Millisecond
	// findTimeout limits how long a caller waits for the origin of its stream.
	findTimeout = 500 * time.Millisecond
	// unresponsivePause is for how long a host that did not respond is not sent origins.
	unresponsivePause = 10 * time.Second
	// maxQueuedOrigins bounds the origins that wait to be sent.
	maxQueuedOrigins = 4096
)

// queuedOrigin is an origin that waits to be sent.
type queuedOrigin struct {
	*rpc.StreamOrigin
	since time.Time
}

// origins holds where streams began and shares it with other entry hosts. It implements
// rpc.Streams.
type origins struct {
	config  Config
	targets *targets // their software versions

	mu           sync.Mutex // guards everything below
	known        *streams.Origins
	queue        []queuedOrigin         // not sent yet
	clients      map[string]rpc.Streams // by address
	unresponsive map[string]time.Time   // until when, by host
}

func newOrigins(c Config, t *targets) *origins {
	return &origins{
		config: c, targets: t,
		known: streams.NewOrigins(c.Now()), clients: map[string]rpc.Streams{}, unresponsive: map[string]time.Time{},
	}
}

// record records the origin of a stream that this host forwards.
func (o *origins) record(stream string, origin streams.Origin) {
	if stream == "" {
		return
	}
	now := o.config.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known.Record(stream, origin, now)
	o.enqueue(originToRPC(stream, origin), now)
}

// enqueue queues an origin to be sent. The caller holds mu.
func (o *origins) enqueue(origin *rpc.StreamOrigin, now time.Time) {
	if len(o.queue) < maxQueuedOrigins {
		o.queue = append(o.queue, queuedOrigin{origin, now})
	}
}

// run sends recorded origins to the hosts that hold them.
func (o *origins) run(ctx context.Context) {
	ticker := time.NewTicker(originInterval)
	defer ticker.Stop()
	var sends sync.WaitGroup
	defer sends.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for host, batch := range o.takeBatches() {
			sends.Go(func() { o.send(ctx, host, batch) })
		}
	}
}

// takeBatches takes origins from the queue and returns them by the hosts that hold them. Those of a
// service with one version stay: they are needed only if another version appears.
func (o *origins) takeBatches() map[streams.Host][]*rpc.StreamOrigin {
	now := o.config.Now()
	hosts := o.otherHosts()
	single := o.targets.singleVersions()
	o.mu.Lock()
	defer o.mu.Unlock()
	hosts = o.responsive(hosts, now)
	batches := map[streams.Host][]*rpc.StreamOrigin{}
	var kept []queuedOrigin
	for _, origin := range o.queue {
		if single[origin.Service] || len(hosts) == 0 {
			kept = append(kept, origin)
			continue
		}
		holders := streams.Holders(origin.Stream, hosts)
		for _, h := range holders[:min(streams.Copies, len(holders))] {
			batches[h] = append(batches[h], origin.StreamOrigin)
		}
	}
	o.queue = slices.DeleteFunc(kept, func(q queuedOrigin) bool { return now.Sub(q.since) > originHold })
	return batches
}

// responsive returns the hosts without those that did not respond lately. If none did, this host was
// suspended or cut off itself, and all are tried again. The caller holds mu.
func (o *origins) responsive(hosts []streams.Host, now time.Time) []streams.Host {
	maps.DeleteFunc(o.unresponsive, func(_ string, until time.Time) bool { return !now.Before(until) })
	var out []streams.Host
	for _, h := range hosts {
		if _, pausing := o.unresponsive[h.Name]; !pausing {
			out = append(out, h)
		}
	}
	if len(out) == 0 {
		clear(o.unresponsive)
		return hosts
	}
	return out
}

// send sends a batch. If its host does not respond, the batch is sent to those that take its place.
func (o *origins) send(ctx context.Context, host streams.Host, batch []*rpc.StreamOrigin) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	_, err := o.client(host).Record(ctx, &rpc.RecordOriginsRequest{Caller: o.config.Caller, Origins: batch})
	if err == nil || ctx.Err() != nil && context.Cause(ctx) == context.Canceled {
		return
	}
	if o.requeue(host, batch) {
		o.config.Log.Warn("origins of streams not sent", "to", host.Name, "origins", len(batch), "error", err)
	}
}

// requeue queues a batch again for other hosts than one that did not respond. It reports whether the
// host had responded before.
func (o *origins) requeue(host streams.Host, batch []*rpc.StreamOrigin) (first bool) {
	now := o.config.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	_, known := o.unresponsive[host.Name]
	o.unresponsive[host.Name] = now.Add(unresponsivePause)
	for _, origin := range batch {
		o.enqueue(origin, now)
	}
	return !known
}

// ask asks the hosts that hold the origin of a stream. It reports false if none of those that answer has it.
func (o *origins) ask(ctx context.Context, stream string) (origin streams.Origin, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	holders := streams.Holders(stream, o.otherHosts())
	holders = holders[:min(streams.AskedHolders, len(holders))]
	answers := make(chan *rpc.StreamOrigin, len(holders))
	for _, h := range holders {
		go func() { answers <- o.askHost(ctx, h, stream) }()
	}
	for range holders {
		answer := <-answers
		if answer == nil {
			continue
		}
		origin, ok = originFromRPC(answer), true
		if origin.SoftwareVersion != "" {
			o.keep(stream, origin)
			return origin, true // the cancellation ends the other calls
		}
	}
	return origin, ok
}

// askHost asks one host; nil: it does not respond, or does not have the origin.
func (o *origins) askHost(ctx context.Context, host streams.Host, stream string) *rpc.StreamOrigin {
	resp, err := o.client(host).Find(ctx, &rpc.FindOriginRequest{Caller: o.config.Caller, Stream: stream})
	if err != nil {
		o.config.Log.Debug("no answer about the origin of a stream", "from", host.Name, "error", err)
		return nil
	}
	return resp.Origin
}

func (o *origins) local(stream string) (streams.Origin, bool) {
	if stream == "" {
		return streams.Origin{}, false
	}
	now := o.config.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.known.Find(stream, now)
}

func (o *origins) keep(stream string, origin streams.Origin) {
	now := o.config.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.known.Record(stream, origin, now)
}

// Record implements rpc.Streams.
func (o *origins) Record(_ context.Context, r *rpc.RecordOriginsRequest) (*rpc.RecordOriginsResponse, error) {
	for _, origin := range r.Origins {
		o.keep(origin.Stream, originFromRPC(origin))
	}
	return &rpc.RecordOriginsResponse{}, nil
}

// Find implements rpc.Streams.
func (o *origins) Find(_ context.Context, r *rpc.FindOriginRequest) (*rpc.FindOriginResponse, error) {
	origin, ok := o.local(r.Stream)
	if !ok {
		return &rpc.FindOriginResponse{}, nil
	}
	origin.SoftwareVersion = o.targets.versionOf(origin)
	return &rpc.FindOriginResponse{Origin: originToRPC(r.Stream, origin)}, nil
}

// otherHosts returns the other entry hosts of the view.
func (o *origins) otherHosts() []streams.Host {
	s := o.config.Source.Current()
	if s == nil {
		return nil
	}
	return otherHosts(s.EntryHosts, o.config.Caller.GetHost())
}

func otherHosts(rows map[string]*coordpb.Host, self string) []streams.Host {
	var out []streams.Host
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		if h := rows[name]; name != self && h.Address != "" {
			out = append(out, streams.Host{Name: name, FailureDomain: h.FailureDomain, Address: h.Address})
		}
	}
	return out
}

func (o *origins) client(h streams.Host) rpc.Streams {
	o.mu.Lock()
	defer o.mu.Unlock()
	c := o.clients[h.Address]
	if c == nil {
		c = o.config.Peer(h.Address)
		o.clients[h.Address] = c
	}
	return c
}

func originToRPC(stream string, o streams.Origin) *rpc.StreamOrigin {
	return &rpc.StreamOrigin{
		Stream: stream, Service: o.Service, SoftwareVersion: o.SoftwareVersion,
		Instance: o.Target.Instance, StartedUnixMs: o.Target.StartedUnixMs,
	}
}

func originFromRPC(o *rpc.StreamOrigin) streams.Origin {
	return streams.Origin{
		Service: o.Service, SoftwareVersion: o.SoftwareVersion,
		Target: streams.Target{Instance: o.Instance, StartedUnixMs: o.StartedUnixMs},
	}
}
