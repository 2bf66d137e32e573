package entry

import (
	"math/rand/v2"
	"slices"
	"sync"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/view"
)

// chooser picks the target of an attempt among those that can serve it.
type chooser struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newChooser(random *rand.Rand) *chooser {
	return &chooser{random: random}
}

// choose returns the agent to ask, nil when none can serve the call.
func (c *chooser) choose(snapshot *view.Snapshot, call *call, tried []string) *coordpb.Host {
	open := slices.DeleteFunc(targetsFor(snapshot, call), func(target string) bool {
		agent := snapshot.AgentOf[target]
		return agent == nil || agent.Leaving || slices.Contains(tried, target)
	})
	if len(open) == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return snapshot.AgentOf[open[c.random.IntN(len(open))]]
}

// targetsFor returns the targets that can serve a call by the view, in order.
func targetsFor(snapshot *view.Snapshot, c *call) []string {
	if c.service != "" {
		return serviceTargets(snapshot.Configuration, c.service)
	}
	var targets []string
	for _, replica := range snapshot.Replicas[c.model] {
		if replica.State == coordpb.ReplicaState_REPLICA_STATE_READY {
			targets = append(targets, replica.Target)
		}
	}
	return targets
}

func serviceTargets(configuration *config.Configuration, service string) []string {
	var targets []string
	for name, target := range configuration.Targets {
		if target.Kind == config.KindService && target.Service == service {
			targets = append(targets, name)
		}
	}
	slices.Sort(targets)
	return targets
}
