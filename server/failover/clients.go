package failover

import "sync"

// clients keeps one client an address, made at its first use.
type clients[C any] struct {
	dial func(address string) C

	mu   sync.Mutex // guards made; a leaf
	made map[string]C
}

func newClients[C any](dial func(address string) C) *clients[C] {
	return &clients[C]{dial: dial, made: map[string]C{}}
}

func (c *clients[C]) at(address string) C {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.made[address]
	if !ok {
		client = c.dial(address)
		c.made[address] = client
	}
	return client
}
