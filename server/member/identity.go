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

// identity is the content of member.json: the member that this host is, and whether it
// founded the group or joins it.
type identity struct {
	Member   uint64
	Join     bool
	Founders []string // id=IP:port of each initial member; empty if this one joins
}

func (s *Supervisor) identityFile() string { return filepath.Join(s.config.Folder, "member.json") }

// loadOrCreateIdentity returns the stored identity, or creates and stores one: a
// founder's at the first start of the fleet, otherwise that of a new member that joins.
func (s *Supervisor) loadOrCreateIdentity(ctx context.Context) (identity, error) {
	text, err := os.ReadFile(s.identityFile())
	if err == nil {
		var id identity
		if err := json.Unmarshal(text, &id); err == nil && id.Member != 0 {
			return id, nil
		}
		// A power failure can leave the file truncated. It is synced before the log is
		// created, so nothing was acknowledged under this identity.
		s.config.Log.Warn("invalid identity file; creating a new identity", "file", s.identityFile())
		if err := os.RemoveAll(s.dataFolder()); err != nil {
			return identity{}, fault.New(fault.Internal, "remove %s: %v", s.dataFolder(), err)
		}
	} else if !os.IsNotExist(err) {
		return identity{}, fault.New(fault.Internal, "reading the identity file: %v", err)
	}
	id := identity{Member: rand.Uint64() | 1<<32, Join: true}
	if s.config.FirstStart {
		if id, err = s.initialIdentity(ctx, id); err != nil {
			return identity{}, err
		}
	}
	return id, s.saveIdentity(id)
}

// saveIdentity writes the identity file and returns after the file and its directory
// entry are synced.
func (s *Supervisor) saveIdentity(id identity) error {
	text, err := json.Marshal(id)
	if err != nil {
		return fault.New(fault.Internal, "encoding the identity: %v", err)
	}
	if err := os.MkdirAll(s.config.Folder, 0o700); err != nil {
		return fault.New(fault.Internal, "creating the identity folder: %v", err)
	}
	f, err := os.OpenFile(s.identityFile(), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return fault.New(fault.Internal, "opening the identity file: %v", err)
	}
	defer f.Close()
	if _, err := f.Write(text); err != nil {
		return fault.New(fault.Internal, "writing the identity file: %v", err)
	}
	if err := f.Sync(); err != nil {
		return fault.New(fault.Internal, "syncing the identity file: %v", err)
	}
	return syncFolder(s.config.Folder)
}

func syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return fault.New(fault.Internal, "opening %s to sync it: %v", path, err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return fault.New(fault.Internal, "syncing %s: %v", path, err)
	}
	return nil
}

// initialIdentity returns, at the first start of the whole fleet, a founder's identity
// if this host is one of the founders, the seeds that have a disk, and joining
// otherwise. All hosts have the same seeds at that time and all start, so each of them
// computes the same founders.
func (s *Supervisor) initialIdentity(ctx context.Context, joining identity) (identity, error) {
	var founders []string
	for _, seed := range slices.Sorted(slices.Values(s.config.Seeds)) {
		answer, err := s.locateSeed(ctx, seed)
		if err != nil {
			return identity{}, err
		}
		if answer.Disk {
			founders = append(founders, seed)
		}
	}
	own := slices.Index(founders, s.config.Address)
	if own < 0 {
		return joining, nil
	}
	id := identity{Member: uint64(own + 1)}
	for i, f := range founders {
		id.Founders = append(id.Founders, fmt.Sprintf("%d=%s", i+1, f))
	}
	return id, nil
}

// locateSeed calls Locate on a seed until it answers.
func (s *Supervisor) locateSeed(ctx context.Context, seed string) (*rpc.LocateResponse, error) {
	if seed == s.config.Address {
		return &rpc.LocateResponse{Disk: true}, nil
	}
	for {
		answer, err := s.config.Locate(ctx, seed)
		if err == nil {
			return answer, nil
		}
		sleep(ctx, seedRetryInterval)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// requestJoin asks the group to add this member as a learner; the leader promotes it to
// a voter once it has caught up.
func (s *Supervisor) requestJoin(ctx context.Context, id identity) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err := s.config.Control.Forward(ctx, &rpc.ForwardRequest{AddMember: &coordpb.Member{
		Id: id.Member, Address: s.config.Address, Learner: true, FailureDomain: s.config.Settings.Common.FailureDomain,
	}})
	s.config.Log.Info("member asked to join", "member", id.Member, "error", err)
}

// isRemoved reports whether this member is missing from the group's members as returned
// by another process. It is false if no process returned them.
func (s *Supervisor) isRemoved(ctx context.Context, id identity) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	members := s.queryMembers(ctx)
	return len(members) > 0 && !slices.Contains(members, id.Member)
}

// queryMembers calls Locate on all processes of Config.ControlAddresses concurrently, and returns
// the members from the first answer that names a leader; nil if there is none.
func (s *Supervisor) queryMembers(ctx context.Context) []uint64 {
	known := s.config.ControlAddresses()
	answers := make(chan []uint64, len(known))
	for _, address := range known {
		go func() { answers <- s.membersFrom(ctx, address) }()
	}
	for range known {
		if members := <-answers; len(members) > 0 {
			return members
		}
	}
	return nil
}

// membersFrom returns the group's members from one process; nil if it is this process,
// fails or has no leader.
func (s *Supervisor) membersFrom(ctx context.Context, address string) []uint64 {
	if address == s.config.Address {
		return nil
	}
	answer, err := s.config.Locate(ctx, address)
	if err != nil || answer.LeaderMember == 0 {
		return nil
	}
	return answer.Members
}
