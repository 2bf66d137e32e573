package control

import (
	"context"
	"encoding/json"

	"github.com/google/uuid"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/gen/operators"
)

// defaultActor stands in the audit trail where the operator gave no name.
const defaultActor = "operator"

// operatorsService implements the operators' API.
type operatorsService struct {
	role *Role
}

var _ operators.Service = (*operatorsService)(nil)

// change commits an operator's command; the error is the API's.
func (s *operatorsService) change(ctx context.Context, actor *string, id string, c *coordpb.Command) (*coordpb.Result, error) {
	c.Actor = actorName(actor)
	c.CommandId = id
	r, err := s.role.commit(ctx, c)
	if err != nil {
		return r, refusal(err)
	}
	return r, nil
}

func actorName(actor *string) string {
	if actor == nil || *actor == "" {
		return defaultActor
	}
	return *actor
}

// upToDate makes reads by operators see everything that was acknowledged before,
// whichever control process took it.
func (s *operatorsService) upToDate(ctx context.Context) error {
	if err := s.role.barrier(ctx); err != nil {
		return refusal(err)
	}
	return nil
}

// Submit implements operators.Service.
func (s *operatorsService) Submit(ctx context.Context, p *operators.SubmitPayload) (*operators.SubmissionOutcome, error) {
	r, err := s.change(ctx, p.Actor, "", &coordpb.Command{Change: &coordpb.Command_Submit{Submit: &coordpb.SubmitQuestionnaire{
		Questionnaire: []byte(p.Questionnaire), ReplacesRevision: p.ReplacesRevision, SubmissionId: p.SubmissionID,
	}}})
	if err != nil {
		return nil, err
	}
	sub := r.Submission
	return &operators.SubmissionOutcome{
		SubmissionID: sub.SubmissionId, Revision: sub.Revision, Actor: &sub.Actor, AcceptedUnixMs: &sub.UnixMs,
	}, nil
}

// Configuration implements operators.Service.
func (s *operatorsService) Configuration(ctx context.Context, _ *operators.ConfigurationPayload) (*operators.ConfigurationInfo, error) {
	if err := s.upToDate(ctx); err != nil {
		return nil, err
	}
	info := &operators.ConfigurationInfo{InForce: s.inForce(ctx)}
	var failed error
	s.role.machine.Read(func(st *state.State) {
		info.Revision = st.ConfigurationRevision()
		info.Questionnaire = string(st.Questionnaire())
		generated, err := json.MarshalIndent(st.Configuration(), "", "  ")
		info.Generated, failed = string(generated), err
	})
	if failed != nil {
		return nil, refusal(failed)
	}
	return info, nil
}

// DrainHost implements operators.Service.
func (s *operatorsService) DrainHost(ctx context.Context, p *operators.DrainHostPayload) (*operators.HostInfo, error) {
	r, err := s.change(ctx, p.Actor, uuid.NewString(), &coordpb.Command{Change: &coordpb.Command_DrainHost{
		DrainHost: &coordpb.DrainHost{Host: p.Host, Leaving: p.Leaving}}})
	if err != nil {
		return nil, err
	}
	return hostInfo(r.Host, s.seen(ctx)), nil
}

// ForgetHost implements operators.Service.
func (s *operatorsService) ForgetHost(ctx context.Context, p *operators.ForgetHostPayload) error {
	_, err := s.change(ctx, p.Actor, uuid.NewString(), &coordpb.Command{Change: &coordpb.Command_ForgetHost{
		ForgetHost: &coordpb.ForgetHost{Host: p.Host}}})
	return err
}

// Replicas implements operators.Service.
func (s *operatorsService) Replicas(ctx context.Context, _ *operators.ReplicasPayload) (*operators.ReplicaList, error) {
	if err := s.upToDate(ctx); err != nil {
		return nil, err
	}
	list := &operators.ReplicaList{Replicas: []*operators.ReplicaInfo{}}
	s.role.machine.Read(func(st *state.State) {
		for _, r := range st.Replicas() {
			list.Replicas = append(list.Replicas, &operators.ReplicaInfo{
				Model: r.Model, Target: r.Target, State: replicaState(r.State), Fencing: r.Fencing,
			})
		}
	})
	return list, nil
}

func replicaState(s coordpb.ReplicaState) string {
	switch s {
	case coordpb.ReplicaState_REPLICA_STATE_LOAD:
		return "load"
	case coordpb.ReplicaState_REPLICA_STATE_READY:
		return "ready"
	case coordpb.ReplicaState_REPLICA_STATE_UNLOAD:
		return "unload"
	}
	return "unknown"
}

// Audit implements operators.Service.
func (s *operatorsService) Audit(ctx context.Context, p *operators.AuditPayload) (*operators.AuditList, error) {
	if err := s.upToDate(ctx); err != nil {
		return nil, err
	}
	list := &operators.AuditList{Records: []*operators.AuditEntry{}}
	s.role.machine.Read(func(st *state.State) {
		for _, r := range st.Audit(p.After, p.Limit) {
			list.Records = append(list.Records, &operators.AuditEntry{
				Sequence: r.Sequence, UnixMs: r.UnixMs, Actor: r.Actor, Action: r.Action, Subject: r.Subject,
				FromRevision: r.FromRevision, ToRevision: r.ToRevision, Outcome: r.Outcome,
			})
		}
	})
	return list, nil
}
