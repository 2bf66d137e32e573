package state

import (
	"fmt"
	"slices"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
)

// outcomeOK is the audit outcome of a successful command.
const outcomeOK = "ok"

// audit is the audit trail: actor, time, action, revisions before and after, and
// the outcome of each command, rejected ones included. It is part of the replicated
// state, so that it survives restarts and the loss of a host. It keeps the newest
// MaxAuditRecords records. Per-request commands (claims, strikes below the limit)
// are not audited.
type audit struct {
	records []*coordpb.AuditRecord
	next    uint64 // next sequence number
}

func newAudit() audit {
	return audit{next: 1}
}

func (a *audit) write(r *coordpb.AuditRecord) {
	r.Sequence = a.next
	a.next++
	a.records = append(a.records, r)
	if len(a.records) > MaxAuditRecords {
		a.records = append([]*coordpb.AuditRecord(nil), a.records[len(a.records)-MaxAuditRecords:]...)
	}
}

// auditAction returns the audit action of a command and the subject of each record
// to write. Without subjects the command is not audited.
func auditAction(c *coordpb.Command, r *coordpb.Result) (action string, subjects []string) {
	switch m := c.Change.(type) {
	case *coordpb.Command_Submit:
		return "submit_questionnaire", []string{m.Submit.SubmissionId}
	case *coordpb.Command_GiveKey:
		return "give_key", []string{m.GiveKey.Workspace + "/" + m.GiveKey.KeyId}
	case *coordpb.Command_WithdrawKey:
		return "withdraw_key", []string{m.WithdrawKey.KeyId}
	case *coordpb.Command_RegisterHost:
		return "register_host", []string{m.RegisterHost.Host + "/" + m.RegisterHost.Incarnation}
	case *coordpb.Command_DrainHost:
		return drainAction(m.DrainHost), []string{m.DrainHost.Host}
	case *coordpb.Command_ForgetHost:
		return "forget_host", []string{m.ForgetHost.Host}
	case *coordpb.Command_DecideReplicas:
		return "decide_replica", decisionSubjects(m.DecideReplicas)
	case *coordpb.Command_RecordStrike:
		return "quarantine", quarantineSubjects(m.RecordStrike, r)
	case *coordpb.Command_RecordCrashes:
		return "quarantine", append(slices.Clone(r.Quarantined), partSubjects(r.ConvictedParts)...)
	case *coordpb.Command_AdoptDeployment:
		return "adopt_deployment", []string{fmt.Sprint("version ", m.AdoptDeployment.GetDeployment().GetVersion())}
	case *coordpb.Command_SetEvacuation:
		return evacuationAction(m.SetEvacuation), []string{m.SetEvacuation.FailureDomain}
	case *coordpb.Command_RecordAudit:
		return m.RecordAudit.Action, []string{m.RecordAudit.Subject}
	}
	return "", nil
}

func drainAction(m *coordpb.DrainHost) string {
	if m.Leaving {
		return "drain_host"
	}
	return "undrain_host"
}

func evacuationAction(m *coordpb.SetEvacuation) string {
	if m.Evacuated {
		return "evacuate_domain"
	}
	return "restore_domain"
}

func decisionSubjects(m *coordpb.DecideReplicas) []string {
	var out []string
	for _, d := range m.Decisions {
		order := "unload "
		if d.Load {
			order = "load "
		}
		subject := order + ReplicaID(d.Model, d.Target)
		if d.Reason != "" {
			subject += " (" + d.Reason + ")"
		}
		out = append(out, subject)
	}
	return out
}

func quarantineSubjects(m *coordpb.RecordStrike, r *coordpb.Result) []string {
	if r.Strikes < StrikeLimit {
		return nil
	}
	return []string{StrikesID(m.Workspace, m.Fingerprint)}
}

func partSubjects(parts []uint64) []string {
	var out []string
	for _, p := range parts {
		out = append(out, "part "+PartID(request.Part(p)))
	}
	return out
}

// auditOutcome returns the outcome given in a RecordAudit command, the error kind of
// a rejected command, or "ok".
func auditOutcome(c *coordpb.Command, r *coordpb.Result) string {
	if m := c.GetRecordAudit(); m != nil {
		return m.Outcome
	}
	if r.Kind != "" {
		return r.Kind
	}
	return outcomeOK
}

// truncateName shortens text from callers that is longer than MaxNameBytes bytes,
// so that they cannot fill the audit trail. It keeps MaxNameBytes characters.
func truncateName(s string) string {
	if len(s) > MaxNameBytes {
		return fmt.Sprintf("%.*s...", MaxNameBytes, s)
	}
	return s
}
