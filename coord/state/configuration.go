package state

import (
	"bytes"
	"crypto/sha256"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// configuration is the aggregate of the questionnaire in force and of the
// submissions that were made.
//
// Two operators who edit the same revision both name it as the one they replace.
// The log orders them: the first moves the revision on, and the second no longer
// names the current one and is refused. A submission whose answer was lost is
// found by its id and gets its first outcome, accepted or refused, on any member
// and after any restart, since the table is part of the replicated state.
type configuration struct {
	revision      uint64
	stateRevision uint64
	text          []byte
	submission    string
	derived       *config.Configuration
	submissions   map[string]*coordpb.Submission
	order         []string // ids, oldest first
}

func newConfiguration() configuration {
	return configuration{submissions: map[string]*coordpb.Submission{}}
}

// submit applies a submission. changed reports whether the view changed.
func (c *configuration) submit(m *coordpb.SubmitQuestionnaire, at step) (out *coordpb.Submission, changed bool, err error) {
	if err := checkName("submission id", m.SubmissionId); err != nil {
		return nil, false, err
	}
	digest := sha256.Sum256(m.Questionnaire)
	if first, ok := c.submissions[m.SubmissionId]; ok {
		return c.again(first, digest[:], m)
	}
	derived, err := c.derive(m)
	out = &coordpb.Submission{
		SubmissionId: m.SubmissionId, Actor: at.actor, UnixMs: at.now,
		Digest: digest[:], ReplacesRevision: m.ReplacesRevision,
	}
	if err != nil {
		f := fault.From(err)
		out.Kind, out.Message = string(f.Kind), f.Message
		c.remember(out)
		return out, false, err
	}
	c.revision = derived.Revision
	c.stateRevision = at.revision
	c.text = m.Questionnaire
	c.submission = m.SubmissionId
	c.derived = derived
	out.Revision, out.StateRevision = c.revision, at.revision
	c.remember(out)
	return out, true, nil
}

// again answers a resend with the first outcome. The same id with other answers
// is a new submission under an old id, which is refused.
func (c *configuration) again(first *coordpb.Submission, digest []byte, m *coordpb.SubmitQuestionnaire) (*coordpb.Submission, bool, error) {
	if !bytes.Equal(first.Digest, digest) || first.ReplacesRevision != m.ReplacesRevision {
		return first, false, fault.New(fault.KeyReused, "submission id %q was used for another submission", m.SubmissionId)
	}
	if first.Kind != "" {
		return first, false, fault.New(fault.Kind(first.Kind), "%s", first.Message)
	}
	return first, false, nil
}

func (c *configuration) derive(m *coordpb.SubmitQuestionnaire) (*config.Configuration, error) {
	if m.ReplacesRevision != c.revision {
		return nil, fault.New(fault.Conflict, "submission replaces configuration revision %d, but revision %d is in force, accepted as submission %q",
			m.ReplacesRevision, c.revision, c.submission)
	}
	q, err := config.Parse(m.Questionnaire)
	if err != nil {
		return nil, err
	}
	return config.Generate(q, c.revision+1), nil
}

func (c *configuration) remember(s *coordpb.Submission) {
	c.submissions[s.SubmissionId] = s
	c.order = append(c.order, s.SubmissionId)
	for len(c.order) > MaxSubmissions {
		delete(c.submissions, c.order[0])
		c.order = c.order[1:]
	}
}

// workspace reports whether the configuration in force has a workspace.
func (c *configuration) workspace(name string) bool {
	if c.derived == nil {
		return false
	}
	_, ok := c.derived.Workspaces[name]
	return ok
}
