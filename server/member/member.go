package member

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/fleet"
	"cowsliptiller/server/control"
	"cowsliptiller/server/metrics"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
)

const (
	// reopenDelay is the delay before the role is reopened after a failure: a full or
	// hanging disk stays so for seconds.
	reopenDelay = time.Second
	// monitorInterval is the interval between checks of the membership.
	monitorInterval = 300 * time.Millisecond
	// seedRetryInterval is the delay before a seed that did not answer is called again.
	seedRetryInterval = 150 * time.Millisecond
	// removalTimeout is how long other processes must report a membership without this
	// member before it rejoins as a new one. All members list a newly added one
	// within a heartbeat.
	removalTimeout = 3 * time.Second
	// stopTimeout bounds Stop while the disk does not answer.
	stopTimeout = 5 * time.Second
)

// Config configures a Supervisor.
type Config struct {
	Settings         settings.Options // of the control role; the supervisor sets its data folder, member id and members
	Folder           string           // holds the identity file and the data folder
	Address          string           // of this process's internal listener
	Seeds            []string         // internal addresses at process start
	FirstStart       bool             // of the whole fleet
	FaultTolerance   int              // number of members that may fail at once
	DomainTolerance  int              // number of failure domains that may fail at once
	Secret           *process.Secret
	Locate           func(ctx context.Context, address string) (*rpc.LocateResponse, error)
	ControlAddresses func() []string // addresses to ask for the members: seeds and control processes
	Control          rpc.Control     // client that calls any available member
	Log              hclog.Logger
	FS               vfs.FS                // nil: the operating system's files
	Registry         prometheus.Registerer // nil: no metrics
	ReopenDelay      time.Duration         // 0: reopenDelay
}

// Supervisor keeps one control role running.
type Supervisor struct {
	config  Config
	fs      vfs.FS
	metrics *metrics.Member
	role    atomic.Pointer[control.Role]
	atRisk  atomic.Bool // a tolerated loss would leave no quorum; set while this member leads
	handler atomic.Pointer[http.ServeMux]
	stopped sync.WaitGroup
	cancel  context.CancelFunc

	// The following are owned by the goroutine of run.
	durable       uint64  // member id that is known to be durable in the identity file; 0: none
	createdFolder bool    // Folder did not exist at the start
	outage        *outage // nil while the role runs
}

// New returns a supervisor that has not started.
func New(c Config) *Supervisor {
	s := &Supervisor{config: c, fs: c.FS, metrics: metrics.NewMember(c.Registry, reasons...)}
	if s.fs == nil {
		s.fs = vfs.Default
	}
	s.config.ReopenDelay = cmp.Or(c.ReopenDelay, reopenDelay)
	return s
}

// Role returns the running role, or nil if none is running.
func (s *Supervisor) Role() *control.Role { return s.role.Load() }

// ServeHTTP passes the request to the running role, or answers 503 if none is running.
func (s *Supervisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := s.handler.Load(); h != nil {
		h.ServeHTTP(w, r)
		return
	}
	http.Error(w, "this control process is not running", http.StatusServiceUnavailable)
}

// Start runs the role in the background until Stop.
func (s *Supervisor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.stopped.Go(func() { s.run(ctx) })
}

// Stop closes the role, which transfers leadership, and waits until it has ended. While the disk
// does not answer, it returns with the context's end or after stopTimeout, and the role
// ends once the disk has answered.
func (s *Supervisor) Stop(ctx context.Context) {
	s.cancel()
	ended := make(chan struct{})
	go func() {
		s.stopped.Wait()
		close(ended)
	}()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-ended:
	case <-ctx.Done():
		s.config.Log.Warn("the control member is still closing; its disk may not answer")
	}
}

// run reopens the role after each failure until the context ends.
func (s *Supervisor) run(ctx context.Context) {
	s.outage = newOutage(time.Now())
	for ctx.Err() == nil {
		f := s.runRole(ctx)
		if ctx.Err() != nil {
			return
		}
		s.recordFailure(f)
		if f.reason == reasonRemoved || f.reason == reasonFenced {
			s.discardMember()
		}
		sleep(ctx, s.config.ReopenDelay)
	}
}

// recordFailure counts and logs a failure of the running role, or of an attempt to open it.
func (s *Supervisor) recordFailure(f *failure) {
	s.metrics.Failure(f.reason)
	now := time.Now()
	if s.outage == nil {
		s.outage = newOutage(now)
	}
	if s.outage.record(f.Error(), now) {
		s.config.Log.Warn("dependency_lost", "dependency", "control_member", "reason", f.reason, "error", f.err,
			"failures", s.outage.failures, "down_ms", now.Sub(s.outage.began).Milliseconds())
	}
}

// recordOpened ends the outage.
func (s *Supervisor) recordOpened(id identity) {
	s.metrics.SetRunning(true)
	s.config.Log.Info("control member opened", "member", id.Member, "joins", id.Join)
	if s.outage.failures > 0 {
		s.config.Log.Info("dependency_regained", "dependency", "control_member",
			"failures", s.outage.failures, "down_ms", time.Since(s.outage.began).Milliseconds())
	}
	s.outage = nil
}

// errRemoved is returned when the group has removed this member.
var errRemoved = errors.New("this member was removed from the group")

// discardMember gives up the identity and the data of a member that is no longer in the group.
// The other members hold its committed entries: they removed it by a majority without it.
func (s *Supervisor) discardMember() {
	if err := s.markDiscarded(); err != nil {
		s.recordFailure(failureOf(reasonDiscard, err))
		return
	}
	s.config.Log.Info("member discarded; joining as a new member", "address", s.config.Address)
}

// runRole opens and runs the role until it fails or the context ends.
func (s *Supervisor) runRole(ctx context.Context) *failure {
	id, err := s.loadOrCreateIdentity(ctx)
	if err != nil {
		return failureOf(reasonIdentity, err)
	}
	failed := make(chan error, 1)
	role, err := s.openRole(id, failed)
	if err != nil {
		return failureOf(reasonOpen, err)
	}
	defer s.closeRole(role)
	mux := http.NewServeMux()
	role.Mount(mux)
	if err := role.Start(ctx); err != nil {
		return failureOf(reasonStart, err)
	}
	s.role.Store(role)
	s.handler.Store(mux)
	s.recordOpened(id)
	return failureOf(reasonFailed, s.monitorMembership(ctx, role, id, failed))
}

// closeRole withdraws the role from its callers and closes it.
func (s *Supervisor) closeRole(role *control.Role) {
	s.role.Store(nil)
	s.handler.Store(nil)
	s.metrics.SetRunning(false)
	if err := role.Close(); err != nil {
		s.config.Log.Warn("closing the control member failed", "error", err)
	}
}

// openRole opens the control role. Its first failure is sent to failed, which must have
// a buffer of 1.
func (s *Supervisor) openRole(id identity, failed chan error) (*control.Role, error) {
	o := s.config.Settings
	o.Control.DataFolder, o.Control.MemberID = s.dataFolder(), id.Member
	o.Control.Join, o.Control.Members = id.Join, id.Founders
	return control.OpenOn(s.fs, &o, s.config.Secret, s.config.Log, func(err error) {
		select {
		case failed <- err:
		default:
		}
	})
}

// monitorMembership repairs the group while the role leads, requests to join it, and
// detects the removal of this member. It returns when the role fails or the context ends.
func (s *Supervisor) monitorMembership(ctx context.Context, role *control.Role, id identity, failed <-chan error) error {
	ticker := time.NewTicker(monitorInterval)
	defer ticker.Stop()
	missing := time.Duration(0) // how long other processes have reported a membership without this member
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-ticker.C:
		}
		st := role.Status()
		if st.Leading {
			s.repair(ctx, role)
		}
		switch {
		case st.Leader != 0:
			missing = 0
		case id.Join && len(st.Members) == 0:
			s.requestJoin(ctx, id)
		case s.isRemoved(ctx, id):
			missing += monitorInterval
		}
		if missing >= removalTimeout {
			return errRemoved
		}
	}
}

// repair removes at most one failed member from the group, as chosen by fleet.MemberToRemove.
func (s *Supervisor) repair(ctx context.Context, role *control.Role) {
	st := role.Status()
	var domains map[string]string
	if s.config.DomainTolerance > 0 {
		domains = role.FailureDomains()
	}
	var members []fleet.Member
	for _, m := range st.Members {
		domain := cmp.Or(m.FailureDomain, domains[m.Address])
		members = append(members, fleet.Member{ID: m.Id, Address: m.Address, Voter: !m.Learner, Silent: st.Silent[m.Id], FailureDomain: domain})
	}
	tolerated := max(s.config.FaultTolerance, fleet.LargestLoss(members, s.config.DomainTolerance))
	s.checkQuorum(members, tolerated)
	gone, reason, ok := fleet.MemberToRemove(members, tolerated)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := role.Forward(ctx, &rpc.ForwardRequest{RemoveMember: gone})
	s.config.Log.Info("member removed", "member", gone, "reason", reason, "error", err)
}

// checkQuorum logs when a tolerated loss begins to leave no quorum, and when it no longer does.
func (s *Supervisor) checkQuorum(members []fleet.Member, tolerated int) {
	atRisk := !fleet.KeepsQuorum(members, tolerated)
	if s.atRisk.Swap(atRisk) == atRisk {
		return
	}
	s.config.Log.Info("quorum after a tolerated loss", "kept", !atRisk, "members", len(members), "lost_together", tolerated)
}

// QuorumAtRisk reports whether this member leads a group in which a tolerated loss would leave
// no quorum.
func (s *Supervisor) QuorumAtRisk() bool {
	role := s.Role()
	return role != nil && role.Status().Leading && s.atRisk.Load()
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
