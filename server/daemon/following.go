package daemon

import (
	"context"
	"net/http"

	"cowsliptiller/server/view"
)

// following keeps a role's view up to date from the start of the process until
// after the role has drained.
type following struct {
	name     string
	follower *view.Follower
	stop     context.CancelFunc
	stopped  chan struct{}
}

// Name implements process.Role.
func (f *following) Name() string { return f.name }

// Mount implements process.Role.
func (f *following) Mount(*http.ServeMux) {}

// Start implements process.Role.
func (f *following) Start(ctx context.Context) error {
	ctx, f.stop = context.WithCancel(context.WithoutCancel(ctx))
	f.stopped = make(chan struct{})
	go func() {
		defer close(f.stopped)
		_ = f.follower.Run(ctx)
	}()
	return nil
}

// Ready implements process.Role; the role that follows says whether its view will do.
func (f *following) Ready() error { return nil }

// Drain implements process.Role.
func (f *following) Drain(context.Context) error { return nil }

// Close implements process.Role.
func (f *following) Close() error {
	f.stop()
	<-f.stopped
	return nil
}
