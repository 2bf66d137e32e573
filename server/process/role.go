package process

import (
	"context"
	"net/http"
)

// Role is one of entry, agent and control inside a process.
type Role interface {
	// Name is the role as written in --roles.
	Name() string
	// Mount adds the role's handlers to the internal listener; the caller has
	// already proved that it is one of our processes.
	Mount(internal *http.ServeMux)
	// Start begins background work and opens the role's own listeners. It
	// returns once the role runs; the role stops when Close is called.
	Start(ctx context.Context) error
	// Ready is nil when the role can do its work now; the error says why not.
	Ready() error
	// Drain stops taking new work and returns when what runs has finished, or
	// with the context's error.
	Drain(ctx context.Context) error
	// Close ends background work. It is called once, after Drain.
	Close() error
}
