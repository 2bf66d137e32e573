package rpc

import "sync"

// Clients keeps one client an address, made at its first use.
type Clients[C any] struct {
	dial func(address string) C

	mu   sync.Mutex // guards made; a leaf
	made map[string]C
}

// NewClients returns an empty cache over a dialer.
func NewClients[C any](dial func(address string) C) *Clients[C] {
	return &Clients[C]{dial: dial, made: map[string]C{}}
}

// At returns the client of an address.
func (c *Clients[C]) At(address string) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.made[address]
	if !ok {
		client = c.dial(address)
		c.made[address] = client
	}
	return client
}
