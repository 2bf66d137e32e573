package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// results stores the results of commands that have an id, so that a command resent
// after a lost response returns the first result and changes nothing. Commands
// without an id are idempotent in themselves.
type results struct {
	rows  map[string]*coordpb.RecordedResult
	order []string // command ids, oldest first
}

func newResults() results {
	return results{rows: map[string]*coordpb.RecordedResult{}}
}

// lookup returns a copy of the first result of a resent command, an error result if
// the id was used for another command, or nil for a new command.
func (r *results) lookup(c *coordpb.Command) *coordpb.Result {
	if c.CommandId == "" {
		return nil
	}
	first, ok := r.rows[c.CommandId]
	if !ok {
		return nil
	}
	if first.Identity != commandIdentity(c) {
		return errorResult(fault.New(fault.KeyReused, "command id %q was used for another command", c.CommandId))
	}
	return proto.Clone(first.Result).(*coordpb.Result)
}

// record stores the result of a command that has an id.
func (r *results) record(c *coordpb.Command, out *coordpb.Result, now int64) {
	if c.CommandId == "" {
		return
	}
	r.put(&coordpb.RecordedResult{CommandId: c.CommandId, Result: proto.Clone(out).(*coordpb.Result), UnixMs: now, Identity: commandIdentity(c)})
}

// put adds a result and drops the oldest beyond MaxRecordedResults.
func (r *results) put(row *coordpb.RecordedResult) {
	r.rows[row.CommandId] = row
	r.order = append(r.order, row.CommandId)
	for len(r.order) > MaxRecordedResults {
		delete(r.rows, r.order[0])
		r.order = r.order[1:]
	}
}

// commandIdentity returns a string that is equal for a command and its resends. The
// secret of a key, and with it the digest, is generated anew for each send, so a
// GiveKey command is identified by its workspace alone.
func commandIdentity(c *coordpb.Command) string {
	switch m := c.Change.(type) {
	case *coordpb.Command_GiveKey:
		return "give_key " + m.GiveKey.Workspace
	case *coordpb.Command_WithdrawKey:
		return "withdraw_key " + m.WithdrawKey.KeyId
	case *coordpb.Command_DrainHost:
		return fmt.Sprintf("%s %s", drainAction(m.DrainHost), m.DrainHost.Host)
	case *coordpb.Command_ForgetHost:
		return "forget_host " + m.ForgetHost.Host
	case *coordpb.Command_SetEvacuation:
		return evacuationAction(m.SetEvacuation) + " " + m.SetEvacuation.FailureDomain
	case *coordpb.Command_Submit:
		return "submit " + m.Submit.SubmissionId
	}
	return fmt.Sprintf("%T", c.Change)
}
