package member

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/fleet"
	"cowsliptiller/server/control"
	"cowsliptiller/server/process"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/settings"
)

// Times of the supervisor.
const (
	// reopenPause is the wait before a role whose disk failed is opened again: a
	// full or hanging disk stays so for seconds.
	reopenPause = time.Second
	// watchInterval is how often membership is looked after.
	watchInterval = 300 * time.Millisecond
	// askInterval is the wait between two rounds of asking the seeds.
	askInterval = 150 * time.Millisecond
	// strangerAfter is how long the other members must say that this one is none
	// of them before it joins anew. A member that has just been added is told so
	// by all of them within a heartbeat.
	strangerAfter = 3 * time.Second
)

// Config is what a supervisor is made of.
type Config struct {
	Settings   settings.Options // of the control role; its id and members are filled in
	Folder     string           // on the disk
	Address    string           // of this process's internal listener
	Seeds      []string         // internal addresses, as at the start
	FirstStart bool             // of the whole fleet
	Tolerated  int              // members that may be lost at once
	Secret     *process.Secret
	Locate     func(ctx context.Context, address string) (*rpc.LocateResponse, error)
	Known      func() []string // processes that may know the group now: seeds and control processes
	Control    rpc.Control     // whichever member answers
	Log        hclog.Logger
}

// Supervisor keeps one control role.
type Supervisor struct {
	config  Config
	role    atomic.Pointer[control.Role]
	handler atomic.Pointer[http.ServeMux]
	stopped sync.WaitGroup
	cancel  context.CancelFunc
}

// New returns a supervisor that has not started.
func New(c Config) *Supervisor { return &Supervisor{config: c} }

// Role returns the role that runs now, nil while none does.
func (s *Supervisor) Role() *control.Role { return s.role.Load() }

// ServeHTTP serves the calls of the role that runs now.
func (s *Supervisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h := s.handler.Load(); h != nil {
		h.ServeHTTP(w, r)
		return
	}
	http.Error(w, "this control process is not running", http.StatusServiceUnavailable)
}

// Start begins to keep the role.
func (s *Supervisor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.stopped.Go(func() { s.run(ctx) })
}

// Stop hands leadership over and ends the role.
func (s *Supervisor) Stop() {
	s.cancel()
	s.stopped.Wait()
}

// run opens the role again and again.
func (s *Supervisor) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		s.config.Log.Warn("dependency lost", "dependency", "control_member", "error", err)
		if errors.Is(err, errStranger) || fault.Is(err, fault.Fenced) {
			s.startOver()
		}
		pause(ctx, reopenPause)
	}
}

// errStranger: the group has removed this member.
var errStranger = errors.New("the group does not count this member any more")

// startOver drops a folder whose member the group does not know any more. What it
// held is held by the others: they removed it by a majority without it.
func (s *Supervisor) startOver() {
	if err := os.RemoveAll(s.dataFolder()); err != nil {
		s.config.Log.Error("old data not removed", "folder", s.dataFolder(), "error", err)
		return
	}
	if err := os.Remove(s.identityFile()); err != nil && !os.IsNotExist(err) {
		s.config.Log.Error("old identity not removed", "file", s.identityFile(), "error", err)
		return
	}
	s.config.FirstStart = false
	s.config.Log.Info("member starts over", "address", s.config.Address)
}

func (s *Supervisor) dataFolder() string { return filepath.Join(s.config.Folder, "log") }

// serve runs the role until it fails or the context ends.
func (s *Supervisor) serve(ctx context.Context) error {
	id, err := s.identity(ctx)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	role, err := s.open(id, failed)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	role.Mount(mux)
	if err := role.Start(ctx); err != nil {
		_ = role.Close()
		return err
	}
	s.role.Store(role)
	s.handler.Store(mux)
	s.config.Log.Info("control member opened", "member", id.Member, "joins", id.Join)
	defer func() {
		s.role.Store(nil)
		s.handler.Store(nil)
		if err := role.Close(); err != nil {
			s.config.Log.Warn("control member closed with an error", "error", err)
		}
	}()
	return s.watch(ctx, role, id, failed)
}

func (s *Supervisor) open(id identity, failed chan error) (*control.Role, error) {
	o := s.config.Settings
	o.Control.DataFolder, o.Control.MemberID = s.dataFolder(), id.Member
	o.Control.Join, o.Control.Members = id.Join, id.Founders
	return control.Open(&o, s.config.Secret, s.config.Log, func(err error) {
		select {
		case failed <- err:
		default:
		}
	})
}

// watch looks after the membership until the role fails.
func (s *Supervisor) watch(ctx context.Context, role *control.Role, id identity, failed <-chan error) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	stranger := time.Duration(0)
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
			stranger = 0
		case id.Join && len(st.Members) == 0:
			s.join(ctx, id)
		case s.unknown(ctx, id):
			stranger += watchInterval
		}
		if stranger >= strangerAfter {
			return errStranger
		}
	}
}

// repair removes a member that the group should not count any more.
func (s *Supervisor) repair(ctx context.Context, role *control.Role) {
	st := role.Status()
	var members []fleet.Member
	for _, m := range st.Members {
		members = append(members, fleet.Member{ID: m.Id, Address: m.Address, Voter: !m.Learner, Silent: st.Silent[m.Id]})
	}
	gone, reason, ok := fleet.Repair(members, s.config.Tolerated)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := role.Forward(ctx, &rpc.ForwardRequest{RemoveMember: gone})
	s.config.Log.Info("member removed", "member", gone, "reason", reason, "error", err)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
