package state

import (
	"bytes"
	"crypto/sha256"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// configuration is the aggregate of the current questionnaire and the recent
// submissions.
//
// Submissions use optimistic concurrency control. Two operators who edit the same
// revision both name it as the one they replace; the first in the log increments
// the revision, and the second no longer names the current one and is rejected. A
// submission whose response was lost can be resent: its id finds the first outcome,
// accepted or rejected, on any member and after any restart, since the table is
// part of the replicated state.
type configuration struct {
	revision      uint64
	stateRevision uint64
	questionnaire []byte
	submissionID  string
	derived       *config.Configuration
	submissions   map[string]*coordpb.Submission
	order         []string // submission ids, oldest first
}

func newConfiguration() configuration {
	return configuration{submissions: map[string]*coordpb.Submission{}}
}

// submit processes a submission. changed reports whether the view changed.
func (c *configuration) submit(m *coordpb.SubmitQuestionnaire, at commandContext) (out *coordpb.Submission, changed bool, err error) {
	if err := checkName("submission id", m.SubmissionId); err != nil {
		return nil, false, err
	}
	digest := sha256.Sum256(m.Questionnaire)
	if first, ok := c.submissions[m.SubmissionId]; ok {
		return c.firstOutcome(first, digest[:], m)
	}
	derived, err := c.derive(m)
	out = &coordpb.Submission{
		SubmissionId: m.SubmissionId, Actor: at.actor, UnixMs: at.now,
		Digest: digest[:], ReplacesRevision: m.ReplacesRevision,
	}
	if err != nil {
		f := fault.From(err)
		out.Kind, out.Message = string(f.Kind), f.Message
		c.recordSubmission(out)
		return out, false, err
	}
	c.revision = derived.Revision
	c.stateRevision = at.revision
	c.questionnaire = m.Questionnaire
	c.submissionID = m.SubmissionId
	c.derived = derived
	out.Revision, out.StateRevision = c.revision, at.revision
	c.recordSubmission(out)
	return out, true, nil
}

// firstOutcome returns the first outcome of a resent submission. A different
// questionnaire or replaced revision under the same id is rejected as a reused id.
func (c *configuration) firstOutcome(first *coordpb.Submission, digest []byte, m *coordpb.SubmitQuestionnaire) (*coordpb.Submission, bool, error) {
	if !bytes.Equal(first.Digest, digest) || first.ReplacesRevision != m.ReplacesRevision {
		return first, false, fault.New(fault.KeyReused, "submission id %q was used for another submission", m.SubmissionId)
	}
	if first.Kind != "" {
		return first, false, fault.New(fault.Kind(first.Kind), "%s", first.Message)
	}
	return first, false, nil
}

// derive generates the configuration of the next revision from a submission.
func (c *configuration) derive(m *coordpb.SubmitQuestionnaire) (*config.Configuration, error) {
	if m.ReplacesRevision != c.revision {
		return nil, fault.New(fault.Conflict, "submission replaces configuration revision %d, but revision %d is in force, accepted as submission %q",
			m.ReplacesRevision, c.revision, c.submissionID)
	}
	q, err := config.Parse(m.Questionnaire)
	if err != nil {
		return nil, err
	}
	return config.Generate(q, c.revision+1), nil
}

// recordSubmission stores a submission and drops the oldest beyond MaxSubmissions.
func (c *configuration) recordSubmission(s *coordpb.Submission) {
	c.submissions[s.SubmissionId] = s
	c.order = append(c.order, s.SubmissionId)
	for len(c.order) > MaxSubmissions {
		delete(c.submissions, c.order[0])
		c.order = c.order[1:]
	}
}

// hasWorkspace reports whether the current configuration contains a workspace.
func (c *configuration) hasWorkspace(name string) bool {
	if c.derived == nil {
		return false
	}
	_, ok := c.derived.Workspaces[name]
	return ok
}
