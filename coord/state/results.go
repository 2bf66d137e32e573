package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// results keeps what commands with an id returned, so that a resend after a lost
// answer gets the first outcome and changes nothing. Commands without an id are
// idempotent by their own rules.
type results struct {
	rows  map[string]*coordpb.RecordedResult
	order []string // oldest first
}

func newResults() results {
	return results{rows: map[string]*coordpb.RecordedResult{}}
}

// find returns the first outcome of a resend, a refusal where the id was used for
// something else, or nil for a new command. The caller owns the result.
func (r *results) find(c *coordpb.Command) *coordpb.Result {
	if c.CommandId == "" {
		return nil
	}
	first, ok := r.rows[c.CommandId]
	if !ok {
		return nil
	}
	if first.Identity != identity(c) {
		return refusal(fault.New(fault.KeyReused, "command id %q was used for another command", c.CommandId))
	}
	return proto.Clone(first.Result).(*coordpb.Result)
}

func (r *results) remember(c *coordpb.Command, out *coordpb.Result, now int64) {
	if c.CommandId == "" {
		return
	}
	r.put(&coordpb.RecordedResult{CommandId: c.CommandId, Result: proto.Clone(out).(*coordpb.Result), UnixMs: now, Identity: identity(c)})
}

func (r *results) put(row *coordpb.RecordedResult) {
	r.rows[row.CommandId] = row
	r.order = append(r.order, row.CommandId)
	for len(r.order) > MaxResults {
		delete(r.rows, r.order[0])
		r.order = r.order[1:]
	}
}

// identity is what a resend has in common with the first sending. A key's secret
// is drawn anew for each sending, so that only the workspace identifies GiveKey.
func identity(c *coordpb.Command) string {
	switch m := c.Change.(type) {
	case *coordpb.Command_GiveKey:
		return "give_key " + m.GiveKey.Workspace
	case *coordpb.Command_WithdrawKey:
		return "withdraw_key " + m.WithdrawKey.KeyId
	case *coordpb.Command_DrainHost:
		return fmt.Sprintf("%s %s", drainAction(m.DrainHost), m.DrainHost.Host)
	case *coordpb.Command_ForgetHost:
		return "forget_host " + m.ForgetHost.Host
	case *coordpb.Command_Submit:
		return "submit " + m.Submit.SubmissionId
	}
	return fmt.Sprintf("%T", c.Change)
}
