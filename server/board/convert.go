package board

import (
	"time"

	"cowsliptiller/coord/standings"
	"cowsliptiller/server/rpc"
)

// ToRPC returns the message of a standing.
func ToRPC(s *standings.Standing) *rpc.Standing {
	out := &rpc.Standing{
		Instance: s.Instance, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
		Slots: uint32(s.Slots), Draining: s.Draining, Agent: s.Agent, Running: uint32(s.Running),
		Queued: uint32(s.Queued), KvUsed: s.KVUsed, KvTotal: s.KVTotal, Loading: s.Loading,
		Version: s.Version, AtHand: s.AtHand, Reported: s.Reported, BornUnixMs: s.BornUnixMs,
		LoadWaitMs: uint32(s.LoadWait.Milliseconds()), Awaited: s.Awaited,
	}
	for _, m := range s.Models {
		out.Models = append(out.Models, &rpc.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	return out
}

// FromRPC returns the standing of a message.
func FromRPC(s *rpc.Standing) standings.Standing {
	out := standings.Standing{
		Instance: s.Instance, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
		Slots: int(s.Slots), Draining: s.Draining, Agent: s.Agent, Running: int(s.Running),
		Queued: int(s.Queued), KVUsed: s.KvUsed, KVTotal: s.KvTotal, Loading: s.Loading,
		Version: s.Version, AtHand: s.AtHand, Reported: s.Reported, BornUnixMs: s.BornUnixMs,
		LoadWait: time.Duration(s.LoadWaitMs) * time.Millisecond, Awaited: s.Awaited,
	}
	for _, m := range s.Models {
		out.Models = append(out.Models, standings.Held{Name: m.Name, Adapters: m.Adapters})
	}
	return out
}
