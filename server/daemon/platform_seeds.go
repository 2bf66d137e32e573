package daemon

import (
	"context"
	"os"
	"slices"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/platform"
	"cowsliptiller/server/discovery"
	"cowsliptiller/server/rpc"
)

// locate asks a process which control processes it knows.
func (b *platformBuilder) locate(ctx context.Context, address string) (*rpc.LocateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, discovery.LocateTimeout)
	defer cancel()
	resp, err := rpc.NewDirectoryProtobufClient("http://"+address, b.client).Locate(ctx, &rpc.LocateRequest{})
	return resp, rpc.FromTwirp(err)
}

// Locate implements rpc.Directory.
func (b *platformBuilder) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateResponse, error) {
	resp := &rpc.LocateResponse{
		Disk: b.process.DataFolder != "", ControlAddresses: b.follower.Addresses(),
	}
	if b.member == nil {
		return resp, nil
	}
	if role := b.member.Role(); role != nil {
		st := role.Status()
		resp.LeaderMember = st.Leader
		for _, m := range st.Members {
			resp.Members = append(resp.Members, m.Id)
			if !slices.Contains(resp.ControlAddresses, m.Address) {
				resp.ControlAddresses = append(resp.ControlAddresses, m.Address)
			}
		}
	}
	return resp, nil
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
	b.events.Reloaded(cause, before, now, err)
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
