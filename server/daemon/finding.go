package daemon

import (
	"context"
	"sync"

	"cowsliptiller/server/rpc"
)

// finder learns from the seeds which control processes there are. Its functions are called
// from several goroutines at once.
type finder struct {
	locate  func(ctx context.Context, seed string) (*rpc.LocateResponse, error)
	suggest func(addresses []string)
	silent  func(seed string, err error)
}

// ask asks all seeds at once and passes each answer on as it comes. One after the other,
// two seeds that were still starting kept a host from the third for their whole time:
// after a loss of power of the whole fleet that was one and a half of the three seconds
// in which all callers were refused.
func (f finder) ask(ctx context.Context, seeds []string) {
	var asked sync.WaitGroup
	for _, seed := range seeds {
		asked.Go(func() { f.askOne(ctx, seed) })
	}
	asked.Wait()
}

func (f finder) askOne(ctx context.Context, seed string) {
	resp, err := f.locate(ctx, seed)
	if err != nil {
		f.silent(seed, err)
		return
	}
	addresses := resp.ControlAddresses
	if resp.Disk {
		addresses = append(addresses, seed)
	}
	f.suggest(addresses)
}
