package control

import (
	"context"

	"cowsliptiller/server/gen/operators"
)

// StartForTest starts the background work without the operators' listener.
func (c *Role) StartForTest() {
	c.run(c.barrierLoop)
	c.run(c.housekeeping)
	c.run(c.lead)
	c.run(c.observeLoop)
	c.run(c.silentLoop)
}

// Operators returns the operators' API without its listener.
func (c *Role) Operators() operators.Service { return &operatorsService{c} }

// ReadToken is readToken.
var ReadToken = readToken

// ReadPlatform reads the platform's list of hosts once.
func ReadPlatform(ctx context.Context, url string) error {
	_, err := readPlatform(ctx, platformClient(), url)
	return err
}
