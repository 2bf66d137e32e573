package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/gen/operators"
)

type keyGive struct {
	base
	CommandID string `long:"command-id" description:"Id of this command; made when not given"`
	Args      struct {
		Workspace string `positional-arg-name:"WORKSPACE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *keyGive) Execute([]string) error {
	if c.CommandID == "" {
		c.CommandID = uuid.NewString()
	}
	key, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.KeyInfo, error) {
		return o.GiveKey(ctx, &operators.GiveKeyPayload{Workspace: c.Args.Workspace, CommandID: c.CommandID})
	})
	if err != nil {
		return err
	}
	return c.app.show(key, "KEY WORKSPACE SECRET", func(w io.Writer) {
		secret := ""
		if key.Secret != nil {
			secret = *key.Secret
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", key.KeyID, key.Workspace, secret)
	})
}

type keyWithdraw struct {
	base
	Args struct {
		KeyID string `positional-arg-name:"KEY" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	key, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.KeyInfo, error) {
		return o.WithdrawKey(ctx, &operators.WithdrawKeyPayload{KeyID: c.Args.KeyID})
	})
	if err != nil {
		return err
	}
	return c.app.show(key, "", func(w io.Writer) { fmt.Fprintf(w, "%s of %s is withdrawn everywhere\n", key.KeyID, key.Workspace) })
}

type keyList struct{ base }

// Execute implements flags.Commander.
func (c *keyList) Execute([]string) error {
	list, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.KeyList, error) {
		return o.Keys(ctx, &operators.KeysPayload{})
	})
	if err != nil {
		return err
	}
	return c.app.show(list, "KEY WORKSPACE WITHDRAWN", func(w io.Writer) {
		for _, k := range list.Keys {
			fmt.Fprintf(w, "%s\t%s\t%t\n", k.KeyID, k.Workspace, k.Withdrawn)
		}
	})
}

type hostList struct{ base }

// Execute implements flags.Commander.
func (c *hostList) Execute([]string) error {
	list, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.HostList, error) {
		return o.Hosts(ctx, &operators.HostsPayload{})
	})
	if err != nil {
		return err
	}
	return c.app.show(list, "HOST ROLE DOMAIN ADDRESS TARGET LEAVING LIVE", func(w io.Writer) {
		for _, h := range list.Hosts {
			target := ""
			if h.Target != nil {
				target = *h.Target
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%t\t%t\n", h.Host, h.Role, h.FailureDomain, h.Address, target, h.Leaving, h.Live)
		}
	})
}

type hostArg struct {
	Host string `positional-arg-name:"HOST" required:"yes"`
}

type hostDrain struct {
	base
	Undo bool    `long:"undo" description:"The host stays after all"`
	Args hostArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *hostDrain) Execute([]string) error {
	host, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.HostInfo, error) {
		return o.DrainHost(ctx, &operators.DrainHostPayload{Host: c.Args.Host, Leaving: !c.Undo})
	})
	if err != nil {
		return err
	}
	return c.app.show(host, "", func(w io.Writer) { fmt.Fprintf(w, "%s leaving: %t\n", host.Host, host.Leaving) })
}

type hostForget struct {
	base
	Args hostArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *hostForget) Execute([]string) error {
	_, err := call(c.app, func(ctx context.Context, o *operators.Client) (struct{}, error) {
		return struct{}{}, o.ForgetHost(ctx, &operators.ForgetHostPayload{Host: c.Args.Host})
	})
	return err
}

type domainArg struct {
	Domain string `positional-arg-name:"DOMAIN" required:"yes"`
}

type domainEvacuate struct {
	base
	Undo bool      `long:"undo" description:"Put the targets back into service"`
	Args domainArg `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *domainEvacuate) Execute([]string) error {
	row, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.EvacuationInfo, error) {
		if c.Undo {
			return o.Restore(ctx, &operators.RestorePayload{FailureDomain: c.Args.Domain})
		}
		return o.Evacuate(ctx, &operators.EvacuatePayload{FailureDomain: c.Args.Domain})
	})
	if err != nil {
		return err
	}
	return c.app.show(row, "", func(w io.Writer) { fmt.Fprintf(w, "%s evacuated: %t\n", row.FailureDomain, row.Evacuated) })
}

type domainList struct{ base }

// Execute implements flags.Commander.
func (c *domainList) Execute([]string) error {
	list, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.EvacuationList, error) {
		return o.Evacuations(ctx, &operators.EvacuationsPayload{})
	})
	if err != nil {
		return err
	}
	return c.app.show(list, "DOMAIN EVACUATED SINCE BY", func(w io.Writer) {
		for _, e := range list.Evacuations {
			fmt.Fprintf(w, "%s\t%t\t%s\t%s\n", e.FailureDomain, e.Evacuated, time.UnixMilli(e.ChangedUnixMs).UTC().Format(time.RFC3339), e.Actor)
		}
	})
}

type replicaList struct{ base }

// Execute implements flags.Commander.
func (c *replicaList) Execute([]string) error {
	list, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.ReplicaList, error) {
		return o.Replicas(ctx, &operators.ReplicasPayload{})
	})
	if err != nil {
		return err
	}
	return c.app.show(list, "MODEL TARGET STATE FENCING", func(w io.Writer) {
		for _, r := range list.Replicas {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", r.Model, r.Target, r.State, r.Fencing)
		}
	})
}

type memberAdd struct {
	base
	ID            uint64 `long:"id" required:"yes" description:"New id, never used before"`
	Address       string `long:"address" required:"yes" description:"IP:port of its internal listener"`
	FailureDomain string `long:"failure-domain" description:"Its failure domain"`
}

// Execute implements flags.Commander.
func (c *memberAdd) Execute([]string) error {
	s, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.ControlStatus, error) {
		return o.AddMember(ctx, &operators.AddMemberPayload{ID: c.ID, Address: c.Address, FailureDomain: &c.FailureDomain})
	})
	if err != nil {
		return err
	}
	return showStatus(c.app, s)
}

type memberRemove struct {
	base
	ID uint64 `long:"id" required:"yes" description:"Id of the member"`
}

// Execute implements flags.Commander.
func (c *memberRemove) Execute([]string) error {
	s, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.ControlStatus, error) {
		return o.RemoveMember(ctx, &operators.RemoveMemberPayload{ID: c.ID})
	})
	if err != nil {
		return err
	}
	return showStatus(c.app, s)
}

type status struct{ base }

// Execute implements flags.Commander.
func (c *status) Execute([]string) error {
	s, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.ControlStatus, error) {
		return o.Status(ctx, &operators.StatusPayload{})
	})
	if err != nil {
		return err
	}
	return showStatus(c.app, s)
}

func showStatus(a *app, s *operators.ControlStatus) error {
	return a.show(s, "", func(w io.Writer) {
		fmt.Fprintf(w, "asked member %d: leader %d, term %d, commit %d, applied %d, state revision %d, configuration %d\n\n",
			s.MemberID, s.LeaderID, s.Term, s.Commit, s.Applied, s.Revision, s.ConfigurationRevision)
		fmt.Fprintln(w, "MEMBER\tADDRESS\tDOMAIN\tLEARNER\tMATCHED")
		for _, m := range s.Members {
			domain, matched := "", ""
			if m.FailureDomain != nil {
				domain = *m.FailureDomain
			}
			if m.Matched != nil {
				matched = fmt.Sprint(*m.Matched)
			}
			fmt.Fprintf(w, "%d\t%s\t%s\t%t\t%s\n", m.ID, m.Address, domain, m.Learner, matched)
		}
	})
}

type audit struct {
	base
	After uint64 `long:"after" description:"Only records with a higher sequence"`
	Limit int    `long:"limit" default:"100" description:"At most so many records, 1 to 1000"`
}

// Execute implements flags.Commander.
func (c *audit) Execute([]string) error {
	list, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.AuditList, error) {
		return o.Audit(ctx, &operators.AuditPayload{After: c.After, Limit: c.Limit})
	})
	if err != nil {
		return err
	}
	return c.app.show(list, "SEQUENCE TIME ACTOR ACTION SUBJECT FROM TO OUTCOME", func(w io.Writer) {
		for _, r := range list.Records {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", r.Sequence, time.UnixMilli(r.UnixMs).UTC().Format(time.RFC3339),
				r.Actor, r.Action, r.Subject, r.FromRevision, r.ToRevision, r.Outcome)
		}
	})
}

type backup struct {
	base
	Args fileArg `positional-args:"yes"`
}

// Execute implements flags.Commander. The file is new and synced: a backup that
// a crash can tear is none.
func (c *backup) Execute([]string) error {
	b, err := call(c.app, func(ctx context.Context, o *operators.Client) (*operators.Backup2, error) {
		return o.Backup(ctx, &operators.BackupPayload{})
	})
	if err != nil {
		return err
	}
	if err := writeSynced(c.Args.File, b.Snapshot); err != nil {
		return fault.New(fault.InvalidRequest, "%v", err)
	}
	fmt.Fprintf(c.app.out, "state revision %d, %d bytes\n", b.Revision, len(b.Snapshot))
	return nil
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return err
	}
	return f.Sync()
}
