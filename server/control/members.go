package control

import (
	"context"
	"net/netip"

	"github.com/google/uuid"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
)

// Status implements operators.Service. It answers without a quorum too: that is
// when an operator needs it.
func (s *operatorsService) Status(context.Context, *operators.StatusPayload) (*operators.ControlStatus, error) {
	return s.status(), nil
}

func (s *operatorsService) status() *operators.ControlStatus {
	st := s.role.log.Status()
	out := &operators.ControlStatus{
		MemberID: st.ID, LeaderID: st.Leader, Term: st.Term, Commit: st.Commit, Applied: st.Applied,
		Members: []*operators.MemberInfo{},
	}
	if st.LeaderAddress != "" {
		out.LeaderAddress = &st.LeaderAddress
	}
	s.role.machine.Read(func(m *state.State) {
		out.Revision, out.ConfigurationRevision = m.Revision(), m.ConfigurationRevision()
	})
	for _, m := range st.Members {
		info := &operators.MemberInfo{ID: m.Id, Address: m.Address, Learner: m.Learner, FailureDomain: &m.FailureDomain}
		if matched, ok := st.Matched[m.Id]; ok {
			info.Matched = &matched
		}
		out.Members = append(out.Members, info)
	}
	return out
}

// AddMember implements operators.Service.
func (s *operatorsService) AddMember(ctx context.Context, p *operators.AddMemberPayload) (*operators.ControlStatus, error) {
	if _, err := netip.ParseAddrPort(p.Address); err != nil || p.ID == 0 {
		return nil, refusal(fault.New(fault.InvalidRequest, "an id above 0 and an address IP:port are needed"))
	}
	m := &coordpb.Member{Id: p.ID, Address: p.Address, Learner: true}
	if p.FailureDomain != nil {
		m.FailureDomain = *p.FailureDomain
	}
	err := s.role.changeMembers(ctx, &rpc.ForwardRequest{AddMember: m})
	return s.membersChanged(ctx, p.Actor, "add_member", m.Address, err)
}

// RemoveMember implements operators.Service.
func (s *operatorsService) RemoveMember(ctx context.Context, p *operators.RemoveMemberPayload) (*operators.ControlStatus, error) {
	s.role.noteMembers()
	err := s.role.changeMembers(ctx, &rpc.ForwardRequest{RemoveMember: p.ID})
	return s.membersChanged(ctx, p.Actor, "remove_member", memberName(p.ID), err)
}

// membersChanged leaves an audit record, of a refusal too.
func (s *operatorsService) membersChanged(ctx context.Context, actor *string, action, subject string, err error) (*operators.ControlStatus, error) {
	s.audit(ctx, actor, action, subject, err)
	if err != nil {
		return nil, refusal(unknownIfUncommitted(err))
	}
	return s.status(), nil
}

func (s *operatorsService) audit(ctx context.Context, actor *string, action, subject string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = string(fault.From(err).Kind)
	}
	_, failed := s.change(ctx, actor, uuid.NewString(), &coordpb.Command{Change: &coordpb.Command_RecordAudit{
		RecordAudit: &coordpb.RecordAudit{Action: action, Subject: subject, Outcome: outcome}}})
	if failed != nil {
		s.role.logger.Warn("audit record not committed", "action", action, "subject", subject, "outcome", outcome, "error", failed)
	}
}

// Backup implements operators.Service.
func (s *operatorsService) Backup(ctx context.Context, p *operators.BackupPayload) (*operators.Backup2, error) {
	if err := s.upToDate(ctx); err != nil {
		return nil, err
	}
	data, err := s.role.machine.Snapshot()
	if err != nil {
		return nil, refusal(err)
	}
	revision, _ := s.role.machine.Revision()
	s.audit(ctx, p.Actor, "backup", "", nil)
	return &operators.Backup2{Revision: revision, Snapshot: state.EncodeBackup(data)}, nil
}
