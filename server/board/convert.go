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
		Queued: uint32(s.Queued), Loading: s.Loading,
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
		Slots: int(s.Slots), Draining: s.Draining, Agent: s.Agent,
		Version: s.Version, AtHand: s.AtHand, Reported: s.Reported, BornUnixMs: s.BornUnixMs,
		Load: standings.Load{
			Running: int(s.Running), Queued: int(s.Queued), Loading: s.Loading,
			LoadWait: time.Duration(s.LoadWaitMs) * time.Millisecond, Awaited: s.Awaited,
		},
	}
	for _, m := range s.Models {
		out.Models = append(out.Models, standings.Held{Name: m.Name, Adapters: m.Adapters})
	}
	return out
}

func loadToRPC(s *standings.Standing) *rpc.TargetLoad {
	return &rpc.TargetLoad{
		Instance: s.Instance, Running: uint32(s.Running), Queued: uint32(s.Queued), Loading: s.Loading,
		LoadWaitMs: uint32(s.LoadWait.Milliseconds()), Awaited: s.Awaited, Version: s.Version,
	}
}

// LoadFromRPC returns the load of a message.
func LoadFromRPC(l *rpc.TargetLoad) standings.LoadUpdate {
	return standings.LoadUpdate{
		Instance: l.Instance, Version: l.Version,
		Load: standings.Load{
			Running: int(l.Running), Queued: int(l.Queued), Loading: l.Loading,
			LoadWait: time.Duration(l.LoadWaitMs) * time.Millisecond, Awaited: l.Awaited,
		},
	}
}

func demandToRPC(d standings.Demand) *rpc.ModelUse {
	return &rpc.ModelUse{Model: d.Model, ValuePerS: d.WorthPerSecond, Copies: uint32(d.Copies), Pressed: uint32(d.Pressed)}
}

// DemandFromRPC returns the demand that a reply to an agent's report holds.
func DemandFromRPC(r *rpc.StandingReportResponse) standings.DemandUpdate {
	u := standings.DemandUpdate{Epoch: r.UseEpoch, Version: r.UseVersion, Whole: r.UseWhole}
	for _, d := range r.Use {
		u.Changed = append(u.Changed, standings.Demand{
			Model: d.Model, WorthPerSecond: d.ValuePerS, Copies: int(d.Copies), Pressed: int(d.Pressed),
		})
	}
	return u
}
