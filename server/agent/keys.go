package agent

import (
	"context"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/view"
)

// followKeys refuses what waits with a withdrawn key as soon as the view shows
// it. Without this such a request waits for its turn to be refused, and takes a
// waiting place from others until then. It is a loop of its own, because the
// one that carries out replica decisions can wait for a target's answer.
func (a *Agent) followKeys(ctx context.Context, turns *queue) {
	for {
		changed := a.cfg.Source.Changed()
		turns.withdraw(withdrawnKeys(a.cfg.Source.Current()))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func withdrawnKeys(s *view.Snapshot) map[string]bool {
	ids := map[string]bool{}
	if s == nil {
		return ids
	}
	for _, key := range s.Keys {
		if key.Withdrawn {
			ids[key.KeyId] = true
		}
	}
	return ids
}

// errWithdrawn is what a request of a withdrawn key is told; it has not run.
func errWithdrawn() error {
	return fault.New(fault.Unauthenticated, "the key is withdrawn")
}
