package member

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/rpc"
	"cowsliptiller/server/store"
)

// identity is the content of member.json: the member that this host is, and whether it
// founded the group or joins it.
type identity struct {
	Member   uint64
	Join     bool
	Founders []string // id=IP:port of each initial member; empty if this one joins
}

// loadOrCreateIdentity returns the identity once it is durable. An identity that was stored
// before is written anew before its first use in this process: that it can be read does not
// show that it is on the disk.
func (s *Supervisor) loadOrCreateIdentity(ctx context.Context) (identity, error) {
	id, found, err := s.readIdentity()
	if err != nil {
		return identity{}, err
	}
	discarded, err := s.isDiscarded()
	if err != nil {
		return identity{}, err
	}
	if !found {
		if id, err = s.newIdentity(ctx, discarded); err != nil {
			return identity{}, err
		}
	}
	if err := s.ensureDurable(id); err != nil {
		return identity{}, err
	}
	if discarded {
		return id, s.unmarkDiscarded()
	}
	return id, nil
}

// ensureDurable also syncs the folder of a durable identity: a failed attempt may have created
// the data folder in it.
func (s *Supervisor) ensureDurable(id identity) error {
	if s.durable == id.Member {
		return s.syncFolder(s.config.Folder)
	}
	if err := s.saveIdentity(id); err != nil {
		return err
	}
	s.durable = id.Member
	return nil
}

// newIdentity returns the identity of a host whose identity file is missing or truncated: that
// of the data folder if there is one, a founder's at the first start of the fleet, otherwise
// that of a new member that joins. It removes the data of a discarded member first.
func (s *Supervisor) newIdentity(ctx context.Context, discarded bool) (identity, error) {
	joining := identity{Member: rand.Uint64() | 1<<32, Join: true}
	if discarded {
		if err := s.syncFolder(s.config.Folder); err != nil {
			return identity{}, err
		}
		return joining, store.Remove(s.fs, s.dataFolder())
	}
	id, found, err := s.recoverIdentity()
	if err != nil || found {
		return id, err
	}
	if s.config.FirstStart {
		return s.initialIdentity(ctx, joining)
	}
	return joining, nil
}

// recoverIdentity returns the identity of the member whose data are in the data folder; false
// if nothing in it can have been acknowledged.
func (s *Supervisor) recoverIdentity() (identity, bool, error) {
	_, err := s.fs.Stat(s.dataFolder())
	if errors.Is(err, os.ErrNotExist) {
		return identity{}, false, nil
	}
	if err != nil {
		return identity{}, false, fault.New(fault.Internal, "reading the data folder: %v", err)
	}
	stored, found, err := s.storedIdentity()
	if err != nil {
		return identity{}, false, fault.New(fault.From(err).Kind, "no valid identity file, and no identity in the data folder: %s", fault.From(err).Message)
	}
	if !found {
		return identity{}, false, nil
	}
	if !stored.Formed {
		return identity{}, false, store.Remove(s.fs, s.dataFolder())
	}
	s.config.Log.Warn("identity recovered from the data folder", "member", stored.Member)
	return identity{Member: stored.Member, Join: true}, true, nil
}

func (s *Supervisor) storedIdentity() (store.Identity, bool, error) {
	data, err := store.Open(s.dataFolder(), store.Options{FS: s.fs, Logger: s.config.Log, PrivateDisk: s.config.Settings.Control.PrivateDisk})
	if err != nil {
		return store.Identity{}, false, err
	}
	id, found, err := data.Identity()
	if closeErr := data.Close(); err == nil {
		err = closeErr
	}
	return id, found, err
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
