package daemon

import (
	"context"
	"os"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/fleet"
	"cowsliptiller/platform"
	"cowsliptiller/server/control"
	"cowsliptiller/server/discovery"
	"cowsliptiller/server/node"
	"cowsliptiller/server/rpc"
)

// locate asks a process which control processes it knows.
func (b *platformBuilder) locate(ctx context.Context, address string) (*rpc.LocateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, discovery.LocateTimeout)
	defer cancel()
	resp, err := rpc.NewDirectoryProtobufClient("http://"+address, b.client).Locate(ctx, &rpc.LocateRequest{})
	return resp, rpc.FromTwirp(err)
}

// announce tells a process where control is.
func (b *platformBuilder) announce(ctx context.Context, address string, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	resp, err := rpc.NewDirectoryProtobufClient("http://"+address, b.client).Announce(ctx, r)
	return resp, rpc.FromTwirp(err)
}

// group returns what the control member of this process knows of its group.
func (b *platformBuilder) group() discovery.Group {
	var g discovery.Group
	role := b.controlMember()
	if role == nil {
		return g
	}
	st := role.Status()
	g.Leader = st.Leader
	for _, m := range st.Members {
		g.Members = append(g.Members, m.Id)
		g.Addresses = append(g.Addresses, m.Address)
	}
	return g
}

// audience returns whom the control member of this process announces itself to: nobody
// while it cannot serve followers.
func (b *platformBuilder) audience() discovery.Recipients {
	role := b.controlMember()
	if role == nil || role.Ready() != nil {
		return discovery.Recipients{}
	}
	st := role.Status()
	a := discovery.Recipients{Processes: role.Unfollowing()}
	for _, m := range st.Members {
		a.Control = append(a.Control, m.Address)
		if m.Id == st.ID || answers(st, m.Id) {
			a.Answering = append(a.Answering, m.Address)
		}
	}
	return a
}

// answers reports whether this member leads and has heard of another one lately.
func answers(st node.Status, id uint64) bool {
	return st.Leading && st.Heard[id] && st.Silent[id] < fleet.MaxAnsweringSilence
}

// controlMember returns the control role that runs now; nil where none does.
func (b *platformBuilder) controlMember() *control.Role {
	if b.member == nil {
		return nil
	}
	return b.member.Role()
}

// settingsLook is how often the settings file is looked at: it may change without a
// signal.
const settingsLook = 2 * time.Second

// followSettings takes new seeds from the settings file when it has changed. What
// else changes takes a restart, which the platform gives.
func (b *platformBuilder) followSettings(path string, reload <-chan os.Signal) {
	last := modified(path)
	for {
		cause := "file"
		select {
		case <-reload:
			cause = "signal"
		case <-time.After(settingsLook):
			now := modified(path)
			if now.Equal(last) {
				continue
			}
		}
		last = modified(path)
		p, err := platform.ReadSettings(path)
		b.reseed(cause, p, err)
	}
}

// reseed uses the seeds of settings that were read again. The old ones stay in use where
// the file cannot be read or names none: a process without seeds finds control no more.
func (b *platformBuilder) reseed(cause string, p *platform.Process, err error) {
	if err == nil && len(p.Seeds) == 0 {
		err = fault.New(fault.InvalidRequest, "the settings name no seeds")
	}
	b.mu.Lock()
	before := b.process.Seeds
	if err == nil {
		b.process.Seeds = p.Seeds
	}
	now := b.process.Seeds
	b.mu.Unlock()
	b.events.SettingsReloaded(cause, before, now, err)
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
