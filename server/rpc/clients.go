package rpc

import "sync"

// Clients caches one client per address, created on first use. It is safe for concurrent
// use.
type Clients[C any] struct {
	dial func(address string) C

	mu      sync.Mutex // guards clients; no other lock is acquired while it is held
	clients map[string]C
}

// NewClients returns an empty cache that creates clients with dial. dial is called with
// the cache's lock held.
func NewClients[C any](dial func(address string) C) *Clients[C] {
	return &Clients[C]{dial: dial, clients: map[string]C{}}
}

// At returns the client for an address.
func (c *Clients[C]) At(address string) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = c.dial(address)
		c.clients[address] = client
	}
	return client
}
