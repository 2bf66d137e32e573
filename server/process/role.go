package process

import (
	"context"
	"net/http"
)

// Role is an entry, agent or control role of a process.
type Role interface {
	// Name is the role as written in --roles.
	Name() string
	// Mount registers the role's handlers on the internal listener, which has
	// authenticated each request as sent by a process of the fleet.
	Mount(internal *http.ServeMux)
	// Start starts background work and opens the role's own listeners. It
	// returns once the role runs; the role stops when Close is called.
	Start(ctx context.Context) error
	// Ready returns nil if the role can do its work now, otherwise the reason why not.
	Ready() error
	// Drain stops accepting new work and returns when running work has finished, or
	// with the context's error.
	Drain(ctx context.Context) error
	// Close stops background work. It is called once, after Drain.
	Close() error
}
