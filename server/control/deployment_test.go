package control_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/control"
	"cowsliptiller/server/node"
	"cowsliptiller/server/rpc"
)

// heldLog lets deployments wait for their commit until it is released.
type heldLog struct {
	node.Log
	release  chan struct{}
	mu       sync.Mutex // guards proposed
	proposed int
}

func (l *heldLog) Propose(ctx context.Context, c *coordpb.Command) (*coordpb.Result, error) {
	if c.GetAdoptDeployment() != nil {
		l.mu.Lock()
		l.proposed++
		l.mu.Unlock()
		<-l.release
	}
	return l.Log.Propose(ctx, c)
}

func adoption(version uint64, source string) *rpc.AdoptRequest {
	return &rpc.AdoptRequest{Adopt: &coordpb.AdoptDeployment{
		Deployment: &coordpb.Deployment{Version: version}, Source: []byte(source),
	}}
}

// adoptions counts the deployments in a group's log.
func (g *group) adoptions() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, c := range g.entries {
		if c.GetAdoptDeployment() != nil {
			n++
		}
	}
	return n
}

// Guards against a large entry for each try of an operator who got no answer.
func TestADeploymentThatIsSentAgainIsCommittedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		log := &heldLog{release: make(chan struct{})}
		leader := g.start(t, 1, func(c *control.Config) { log.Log, c.Log = c.Log, log })
		follower := g.start(t, 2, nil)
		impatient, leave := context.WithCancel(context.Background())
		var calls sync.WaitGroup
		calls.Go(func() {
			if _, err := leader.Adopt(impatient, adoption(5, "five")); err == nil {
				t.Error("a call that its caller gave up was answered")
			}
		})
		synctest.Wait()
		leave()
		for range 3 {
			calls.Go(func() {
				r, err := leader.Adopt(context.Background(), adoption(5, "five"))
				if err != nil || r.Version != 5 {
					t.Errorf("version %d in force: %v", r.GetVersion(), err)
				}
			})
		}
		synctest.Wait()
		close(log.release)
		calls.Wait()
		for _, role := range []*control.Role{leader, follower} {
			for _, again := range []*rpc.AdoptRequest{adoption(5, "five"), adoption(5, "another"), adoption(4, "four")} {
				r, err := role.Adopt(context.Background(), again)
				if err != nil || r.Version != 5 {
					t.Errorf("version %d in force: %v", r.GetVersion(), err)
				}
			}
		}
		if n := g.adoptions(); n != 1 || log.proposed != 1 {
			t.Errorf("%d deployments in the log, %d proposed", n, log.proposed)
		}
		source, err := follower.Source(context.Background(), &rpc.SourceRequest{})
		if err != nil || string(source.Source) != "five" {
			t.Errorf("read back: %q, %v", source.GetSource(), err)
		}
	})
}
