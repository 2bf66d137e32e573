package member

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
)

// identity says as which member of which group this host takes part.
type identity struct {
	Member   uint64
	Join     bool
	Founders []string // id=IP:port of each, where the group was founded with this one
}

func (s *Supervisor) identityFile() string { return filepath.Join(s.config.Folder, "member.json") }

// identity returns what the disk says, or decides it: a founder at the first start
// of the fleet, else a new member that joins.
func (s *Supervisor) identity(ctx context.Context) (identity, error) {
	text, err := os.ReadFile(s.identityFile())
	if err == nil {
		var id identity
		if err := json.Unmarshal(text, &id); err == nil && id.Member != 0 {
			return id, nil
		}
		// A power loss can leave the file torn: it was synced before the log was
		// made, so nothing was promised under it.
		s.config.Log.Warn("identity cannot be read, a new one is made", "file", s.identityFile())
		if err := os.RemoveAll(s.dataFolder()); err != nil {
			return identity{}, fault.New(fault.Internal, "remove %s: %v", s.dataFolder(), err)
		}
	} else if !os.IsNotExist(err) {
		return identity{}, fault.New(fault.Internal, "identity: %v", err)
	}
	id := identity{Member: rand.Uint64() | 1<<32, Join: true}
	if s.config.FirstStart {
		if id, err = s.found(ctx, id); err != nil {
			return identity{}, err
		}
	}
	return id, s.saveIdentity(id)
}

// saveIdentity returns once the file and its name are synced.
func (s *Supervisor) saveIdentity(id identity) error {
	text, err := json.Marshal(id)
	if err != nil {
		return fault.New(fault.Internal, "identity: %v", err)
	}
	if err := os.MkdirAll(s.config.Folder, 0o700); err != nil {
		return fault.New(fault.Internal, "identity: %v", err)
	}
	f, err := os.OpenFile(s.identityFile(), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fault.New(fault.Internal, "identity: %v", err)
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return fault.New(fault.Internal, "identity: %v", err)
	}
	if err := f.Sync(); err != nil {
		return fault.New(fault.Internal, "identity: %v", err)
	}
	return syncFolder(s.config.Folder)
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return fault.New(fault.Internal, "sync of %s: %v", path, err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fault.New(fault.Internal, "sync of %s: %v", path, err)
	}
	return nil
}

// found decides, at the first start of the whole fleet, whether this host is among
// the founders: the seeds that have a disk. All hosts are told the same seeds then
// and all start, so each of them comes to the same answer. otherwise is returned for
// a host that is none of them.
func (s *Supervisor) found(ctx context.Context, otherwise identity) (identity, error) {
	var founders []string
	for _, seed := range slices.Sorted(slices.Values(s.config.Seeds)) {
		answer, err := s.ask(ctx, seed)
		if err != nil {
			return identity{}, err
		}
		if answer.Disk {
			founders = append(founders, seed)
		}
	}
	own := slices.Index(founders, s.config.Address)
	if own < 0 {
		return otherwise, nil
	}
	id := identity{Member: uint64(own + 1)}
	for i, f := range founders {
		id.Founders = append(id.Founders, fmt.Sprintf("%d=%s", i+1, f))
	}
	return id, nil
}

// ask asks a seed until it answers.
func (s *Supervisor) ask(ctx context.Context, seed string) (*rpc.LocateResponse, error) {
	if seed == s.config.Address {
		return &rpc.LocateResponse{Disk: true}, nil
	}
	for {
		answer, err := s.config.Locate(ctx, seed)
		if err == nil {
			return answer, nil
		}
		pause(ctx, askInterval)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// join asks the group to add this member; the leader gives it a vote once it has
// caught up.
func (s *Supervisor) join(ctx context.Context, id identity) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := s.config.Control.Forward(ctx, &rpc.ForwardRequest{AddMember: &coordpb.Member{
		Id: id.Member, Address: s.config.Address, Learner: true, FailureDomain: s.config.Settings.Common.FailureDomain,
	}})
	s.config.Log.Info("member asked to join", "member", id.Member, "error", err)
}

// unknown reports whether the group's members, as another process tells them, lack this
// host.
func (s *Supervisor) unknown(ctx context.Context, id identity) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	members := s.askGroup(ctx)
	return len(members) > 0 && !slices.Contains(members, id.Member)
}

// askGroup asks all processes that may know the group at once, and returns the members
// that the first of those told which knows a leader.
func (s *Supervisor) askGroup(ctx context.Context) []uint64 {
	known := s.config.Known()
	answers := make(chan []uint64, len(known))
	for _, address := range known {
		go func() { answers <- s.membersAt(ctx, address) }()
	}
	for range known {
		if members := <-answers; len(members) > 0 {
			return members
		}
	}
	return nil
}

// membersAt returns the group's members as a process tells them; nil where it is this one
// or knows no leader.
func (s *Supervisor) membersAt(ctx context.Context, address string) []uint64 {
	if address == s.config.Address {
		return nil
	}
	answer, err := s.config.Locate(ctx, address)
	if err != nil || answer.LeaderMember == 0 {
		return nil
	}
	return answer.Members
}
