package state

import (
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// Apply executes one command and returns its result. The state keeps references to
// the command and to the rows of the result; the caller must not modify them.
func (s *State) Apply(c *coordpb.Command) *coordpb.Result {
	// A new leader's clock may be behind its predecessor's. The state's time must
	// not decrease, or expired rows would become valid again.
	s.now = max(s.now, c.NowUnixMs)
	if first := s.results.lookup(c); first != nil {
		return first
	}
	before, resubmitted := s.revision, s.isResubmission(c)
	at := commandContext{now: s.now, actor: c.Actor, revision: s.revision + 1}
	out, changed := s.dispatch(c, at)
	if changed {
		s.revision = at.revision
	}
	out.Revision = s.revision
	out.ConfigurationRevision = s.configuration.revision
	s.recordAudit(c, out, before, resubmitted)
	s.results.record(c, out, s.now)
	return out
}

// dispatch executes a new command. changed reports whether the view changed.
func (s *State) dispatch(c *coordpb.Command, at commandContext) (out *coordpb.Result, changed bool) {
	switch m := c.Change.(type) {
	case *coordpb.Command_Submit:
		return s.submit(m.Submit, at)
	case *coordpb.Command_GiveKey:
		return s.giveKey(m.GiveKey, at)
	case *coordpb.Command_WithdrawKey:
		return s.withdrawKey(m.WithdrawKey, at)
	case *coordpb.Command_RegisterHost:
		return s.registerHost(m.RegisterHost, at)
	case *coordpb.Command_DrainHost:
		row, changed, err := s.hosts.drain(m.DrainHost, at)
		return withError(&coordpb.Result{Host: row}, err), changed
	case *coordpb.Command_ForgetHost:
		return s.forgetHost(m.ForgetHost, at)
	case *coordpb.Command_DecideReplicas:
		rows, changed, err := s.replicas.decide(m.DecideReplicas, s.configuration.derived, &s.hosts, &s.evacuations, at)
		return withError(&coordpb.Result{Replicas: rows}, err), changed
	case *coordpb.Command_ConfirmReplica:
		return s.confirmReplica(m.ConfirmReplica, at)
	case *coordpb.Command_OpenClaim:
		row, err := s.claims.open(m.OpenClaim, at)
		return withError(&coordpb.Result{Claim: row}, err), false
	case *coordpb.Command_SettleClaim:
		row, err := s.claims.settle(m.SettleClaim, at)
		return withError(&coordpb.Result{Claim: row}, err), false
	case *coordpb.Command_RecordStrike:
		return s.recordStrike(m.RecordStrike, at)
	case *coordpb.Command_RecordCrashes:
		return s.recordCrashes(m.RecordCrashes, at)
	case *coordpb.Command_AcquireLease:
		row, err := s.leases.acquire(m.AcquireLease, at)
		return withError(&coordpb.Result{Lease: row}, err), false
	case *coordpb.Command_Expire:
		return s.expire(at)
	case *coordpb.Command_AdoptDeployment:
		changed := s.deployment.Adopt(m.AdoptDeployment, at.revision)
		return &coordpb.Result{DeploymentVersion: s.deployment.Version()}, changed
	case *coordpb.Command_SetEvacuation:
		row, changed, err := s.evacuations.set(m.SetEvacuation, at)
		return withError(&coordpb.Result{Evacuation: row}, err), changed
	case *coordpb.Command_RecordAudit:
		return &coordpb.Result{}, false
	}
	// An empty command, or one of a newer version. All members of one version reject
	// it with the same result; see docs/design/control-state.md on upgrades.
	return errorResult(fault.New(fault.InvalidRequest, "unknown command")), false
}

func (s *State) submit(m *coordpb.SubmitQuestionnaire, at commandContext) (*coordpb.Result, bool) {
	sub, changed, err := s.configuration.submit(m, at)
	return withError(&coordpb.Result{Submission: sub}, err), changed
}

func (s *State) giveKey(m *coordpb.GiveKey, at commandContext) (*coordpb.Result, bool) {
	if !s.configuration.hasWorkspace(m.Workspace) {
		return errorResult(fault.New(fault.NotFound, "no workspace is named %q", m.Workspace)), false
	}
	row, err := s.keys.give(m, at)
	return withError(&coordpb.Result{Key: row}, err), err == nil
}

func (s *State) withdrawKey(m *coordpb.WithdrawKey, at commandContext) (*coordpb.Result, bool) {
	row, changed, dropped, err := s.keys.withdraw(m, at)
	if dropped != "" {
		s.tombstones.add(TableKey, dropped, at.revision)
	}
	return withError(&coordpb.Result{Key: row}, err), changed
}

func (s *State) registerHost(m *coordpb.RegisterHost, at commandContext) (*coordpb.Result, bool) {
	row, changed, restarted, err := s.hosts.register(m, at)
	if restarted && row.Role == RoleAgent {
		s.replicas.resetReady(row.Target, at)
	}
	return withError(&coordpb.Result{Host: row}, err), changed
}

func (s *State) forgetHost(m *coordpb.ForgetHost, at commandContext) (*coordpb.Result, bool) {
	rows, err := s.hosts.forget(m)
	if err != nil {
		return errorResult(err), false
	}
	for _, row := range rows {
		s.tombstones.add(TableHost, HostID(row.Host, row.Role), at.revision)
		if row.Role != RoleAgent || s.hosts.hasAgent(row.Target) {
			continue
		}
		for _, id := range s.replicas.removeTarget(row.Target) {
			s.tombstones.add(TableReplica, id, at.revision)
		}
	}
	return &coordpb.Result{Host: rows[0]}, true
}

func (s *State) confirmReplica(m *coordpb.ConfirmReplica, at commandContext) (*coordpb.Result, bool) {
	if err := s.hosts.checkConfirmation(m); err != nil {
		return errorResult(err), false
	}
	row, changed, removed, err := s.replicas.confirm(m, at)
	if removed {
		s.tombstones.add(TableReplica, ReplicaID(m.Model, m.Target), at.revision)
	}
	out := &coordpb.Result{}
	if row != nil && !removed {
		out.Replicas = []*coordpb.Replica{row}
	}
	return withError(out, err), changed
}

func (s *State) recordStrike(m *coordpb.RecordStrike, at commandContext) (*coordpb.Result, bool) {
	row, changed, dropped, err := s.strikes.record(m, at)
	if dropped != "" {
		s.tombstones.add(TableStrikes, dropped, at.revision)
	}
	return withError(&coordpb.Result{Strikes: uint32(len(row.GetAttempts()))}, err), changed
}

func (s *State) recordCrashes(m *coordpb.RecordCrashes, at commandContext) (*coordpb.Result, bool) {
	if err := checkCrashes(m); err != nil {
		return errorResult(err), false
	}
	parts := s.parts.recordCrashes(m, at)
	for _, id := range parts.removed {
		s.tombstones.add(TableParts, id, at.revision)
	}
	done := s.strikes.recordCrashes(m, &s.parts, at)
	s.strikes.clearByParts(parts.explained, &done, at)
	for _, id := range done.removed {
		s.tombstones.add(TableStrikes, id, at.revision)
	}
	return &coordpb.Result{Quarantined: done.quarantined, ConvictedParts: parts.convicted}, done.changed || parts.changed
}

func (s *State) expire(at commandContext) (*coordpb.Result, bool) {
	s.claims.expire(at.now)
	expired := s.strikes.expire(at.now)
	for _, id := range expired {
		s.tombstones.add(TableStrikes, id, at.revision)
	}
	parts := s.parts.expire(at)
	for _, id := range parts.removed {
		s.tombstones.add(TableParts, id, at.revision)
	}
	return &coordpb.Result{}, len(expired) > 0 || parts.changed
}

// withError adds an error to the result of a command. The result keeps its rows:
// a rejected command still returns the existing row, such as the claim that another
// attempt holds.
func withError(out *coordpb.Result, err error) *coordpb.Result {
	if err != nil {
		r := errorResult(err)
		out.Kind, out.Message = r.Kind, r.Message
	}
	return out
}

// recordAudit writes the audit records of a command. A resent submission, an
// unchanged registration and a strike that was already counted leave no record,
// because they change nothing and repeat an earlier result. A submission id that
// is reused for a different submission is recorded.
func (s *State) recordAudit(c *coordpb.Command, out *coordpb.Result, before uint64, resubmitted bool) {
	unchanged := before == s.revision && out.Kind == ""
	frequent := c.GetRegisterHost() != nil || c.GetRecordStrike() != nil || c.GetRecordCrashes() != nil
	if resubmitted && out.Kind != string(fault.KeyReused) || unchanged && frequent {
		return
	}
	action, subjects := auditAction(c, out)
	for _, sub := range subjects {
		s.audit.write(&coordpb.AuditRecord{
			UnixMs: s.now, Actor: truncateName(c.Actor), Action: action, Subject: truncateName(sub),
			FromRevision: before, ToRevision: s.revision, Outcome: auditOutcome(c, out),
		})
	}
}

// isResubmission reports whether a submission with the same id was already processed.
func (s *State) isResubmission(c *coordpb.Command) bool {
	_, ok := s.configuration.submissions[c.GetSubmit().GetSubmissionId()]
	return ok
}
