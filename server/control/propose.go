package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/rpc"
)

// commitTime bounds a command whose caller gives no earlier deadline. It is above
// a leader's election and the commit after it, so that a change of leader shows to
// callers as a slow answer and not as an error.
const commitTime = 5 * time.Second

// leaderRetry is the wait before the leader is looked for again where no change of
// leader has been told.
const leaderRetry = 50 * time.Millisecond

// propose commits a command through whichever process leads and returns what
// Apply returned; a refusal by the state is in the result.
//
// A command whose fate is unknown (the leader died or was cut off before it
// answered) is proposed again: every command is idempotent by its own ids or
// carries a command id.
func (c *Role) propose(ctx context.Context, cmd *coordpb.Command) (*coordpb.Result, error) {
	r, err := c.proposeUntil(ctx, cmd)
	c.count(r, err)
	return r, err
}

func (c *Role) proposeUntil(ctx context.Context, cmd *coordpb.Command) (*coordpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTime)
	defer cancel()
	for {
		changed := c.log.LeaderChanged()
		r, err := c.proposeOnce(ctx, cmd, changed)
		if err == nil || !elsewhere(err) {
			return r, unknownIfUncommitted(err)
		}
		select {
		case <-changed:
		case <-c.after(leaderRetry):
		case <-c.background.Done():
			return nil, fault.WithRan(errClosed(err), fault.RanUnknown, true)
		case <-ctx.Done():
			return nil, unknownIfUncommitted(fault.New(fault.NoQuorum, "no leader committed the command in time: %v", err))
		}
	}
}

// errClosed ends a call that would otherwise try again until its deadline: the stopped log's last
// status may name this process as the leader.
func errClosed(cause error) error {
	return fault.New(fault.Unavailable, "this control process is closed: %v", cause)
}

// commit is propose with the state's refusal as an error. The result is returned
// with the refusal: it shows the standing row.
func (c *Role) commit(ctx context.Context, cmd *coordpb.Command) (*coordpb.Result, error) {
	r, err := c.propose(ctx, cmd)
	if err != nil {
		return nil, err
	}
	return r, state.ResultError(r)
}

// elsewhere reports whether another process may yet take the command.
func elsewhere(err error) bool {
	return fault.Is(err, fault.NotLeader) || fault.Is(err, fault.Unavailable)
}

// unknownIfUncommitted says of a command that found no quorum in time what is
// true: it may still be committed.
func unknownIfUncommitted(err error) error {
	if fault.Is(err, fault.NoQuorum) || fault.Is(err, fault.Timeout) {
		return fault.WithRan(err, fault.RanUnknown, true)
	}
	return err
}

func (c *Role) proposeOnce(ctx context.Context, cmd *coordpb.Command, changed <-chan struct{}) (*coordpb.Result, error) {
	st := c.log.Status()
	if st.Leader == st.ID && st.ID != 0 {
		return c.proposeHere(ctx, cmd)
	}
	leader, err := c.leader()
	if err != nil {
		return nil, err
	}
	return c.forward(ctx, leader, cmd, changed)
}

// forward hands a command to the leader until another one leads.
func (c *Role) forward(ctx context.Context, leader rpc.Control, cmd *coordpb.Command, changed <-chan struct{}) (*coordpb.Result, error) {
	attempt, cancel := untilClosed(ctx, changed)
	defer cancel()
	resp, err := leader.Forward(attempt, &rpc.ForwardRequest{Command: cmd})
	if err == nil {
		return resp.Result, nil
	}
	if attempt.Err() != nil && ctx.Err() == nil {
		return nil, fault.New(fault.Unavailable, "the leader changed before it answered")
	}
	return nil, rpc.FromTwirp(err)
}

// untilClosed returns a context that also ends when changed is closed. A call to a
// leader uses it with the channel of the next change, taken before the leader was
// looked up: a leader that was cut off silently neither answers nor breaks the
// connection, and the call would go on waiting for it while the next one is ready.
func untilClosed(ctx context.Context, changed <-chan struct{}) (context.Context, context.CancelFunc) {
	attempt, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-attempt.Done():
		}
	}()
	return attempt, cancel
}

// proposeHere stamps a copy of the command with this process's clock and proposes
// it. The copy matters where a command is proposed again after its fate was unknown:
// the log may still hold the first one, and a stamp written into it would change a
// committed entry at some members and not at others.
func (c *Role) proposeHere(ctx context.Context, cmd *coordpb.Command) (*coordpb.Result, error) {
	stamped := proto.CloneOf(cmd)
	stamped.NowUnixMs = c.now().UnixMilli()
	return c.log.Propose(ctx, stamped)
}

// leader returns a client of the process that leads; fault.NotLeader when it is
// not known or is this one.
func (c *Role) leader() (rpc.Control, error) {
	st := c.log.Status()
	if st.LeaderAddress == "" || st.Leader == st.ID {
		return nil, fault.New(fault.NotLeader, "the leader is not known")
	}
	return c.clients.At(st.LeaderAddress), nil
}

// commitHere commits a decision that only the leader may make. It is not proposed
// again and not forwarded: after a change of leader it would be an earlier
// leader's decision on what it knew then.
func (c *Role) commitHere(ctx context.Context, cmd *coordpb.Command) error {
	ctx, cancel := context.WithTimeout(ctx, commitTime)
	defer cancel()
	r, err := c.proposeHere(ctx, cmd)
	if err != nil {
		return err
	}
	return state.ResultError(r)
}

// Forward implements rpc.Control.
func (c *Role) Forward(ctx context.Context, req *rpc.ForwardRequest) (*rpc.ForwardResponse, error) {
	st := c.log.Status()
	if st.Leader != st.ID {
		return nil, rpc.ToTwirp(fault.New(fault.NotLeader, "member %d does not lead", st.ID))
	}
	var r *coordpb.Result
	var err error
	switch {
	case req.Command != nil:
		if r = c.adoptedBefore(req.Command); r == nil {
			r, err = c.proposeHere(ctx, req.Command)
		}
	case req.AddMember != nil:
		err = c.log.AddMember(ctx, req.AddMember)
	case req.RemoveMember != 0:
		err = c.log.RemoveMember(ctx, req.RemoveMember)
	default:
		err = fault.New(fault.InvalidRequest, "nothing to forward")
	}
	return &rpc.ForwardResponse{Result: r}, rpc.ToTwirp(err)
}

// adoptedBefore returns the result of a deployment that would change nothing any more; nil
// for any other command. Several members may forward the same one.
func (c *Role) adoptedBefore(cmd *coordpb.Command) *coordpb.Result {
	a := cmd.GetAdoptDeployment()
	if a == nil {
		return nil
	}
	version := c.inForceVersion()
	if version < a.Deployment.GetVersion() {
		return nil
	}
	revision, _ := c.machine.Revision()
	return &coordpb.Result{DeploymentVersion: version, Revision: revision}
}

// changeMembers changes the members through whichever process leads. It is tried
// once: unlike a command it carries no id by which a resend is known.
func (c *Role) changeMembers(ctx context.Context, req *rpc.ForwardRequest) error {
	st := c.log.Status()
	if st.Leader == st.ID && st.ID != 0 {
		_, err := c.Forward(ctx, req)
		return rpc.FromTwirp(err)
	}
	leader, err := c.leader()
	if err != nil {
		return err
	}
	_, err = leader.Forward(ctx, req)
	return rpc.FromTwirp(err)
}
