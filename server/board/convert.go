package board

import (
	"time"

	"cowsliptiller/coord/ratelimit"
	"cowsliptiller/coord/targetspeed"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/rpc"
)

// ToRPC converts a target's status to a message that is sent at now.
func ToRPC(s *targetstatus.Status, now time.Time) *rpc.Standing {
	out := &rpc.Standing{
		Instance: s.Instance, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
		Slots: uint32(s.Slots), Draining: s.Draining, Agent: s.Agent, Running: uint32(s.Running),
		Queued: uint32(s.Queued), Loading: s.Loading,
		Version: s.Version, AtHand: s.CachedModels, Reported: s.Reported, BornUnixMs: s.StartedUnixMs,
		LoadWaitMs: uint32(s.LoadWait.Milliseconds()), Awaited: s.PendingModels,
		WarmUpMs:  uint32(max(0, s.WarmUpUntil.Sub(now)).Milliseconds()),
		RateLimit: RateLimitToRPC(s.RateLimit, now), Unreachable: s.Unreachable,
		SoftwareVersion: s.SoftwareVersion, SpeedPercent: uint32(s.SpeedPercent),
		PromptTokensPerS: uint32(s.PromptTokensPerSecond),
	}
	for _, m := range s.Models {
		out.Models = append(out.Models, &rpc.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	return out
}

// FromRPC converts a message that was received at now to a target's status.
func FromRPC(s *rpc.Standing, now time.Time) targetstatus.Status {
	out := targetstatus.Status{
		Instance: s.Instance, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
		Slots: int(s.Slots), Draining: s.Draining, Agent: s.Agent,
		Version: s.Version, CachedModels: s.AtHand, Reported: s.Reported, StartedUnixMs: s.BornUnixMs,
		Load: targetstatus.Load{
			Running: int(s.Running), Queued: int(s.Queued), Loading: s.Loading,
			LoadWait: time.Duration(s.LoadWaitMs) * time.Millisecond, PendingModels: s.Awaited,
			SpeedPercent:          int(s.SpeedPercent),
			PromptTokensPerSecond: int(s.PromptTokensPerS),
		},
		RateLimit: RateLimitFromRPC(s.RateLimit, now), Unreachable: s.Unreachable, SoftwareVersion: s.SoftwareVersion,
	}
	if s.WarmUpMs > 0 {
		out.WarmUpUntil = now.Add(time.Duration(s.WarmUpMs) * time.Millisecond)
	}
	for _, m := range s.Models {
		out.Models = append(out.Models, targetstatus.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	return out
}

// RateLimitToRPC converts an observation to a message that is sent at now; nil if there is none.
func RateLimitToRPC(o ratelimit.Observation, now time.Time) *rpc.RateObservation {
	if o.At.IsZero() {
		return nil
	}
	age := max(0, now.Sub(o.At)) + time.Millisecond - 1 // rounded up, so that an observation that is sent back is not newer
	return &rpc.RateObservation{Limited: o.Limited, PerSecond: o.PerSecond, AgeMs: uint32(age.Milliseconds())}
}

// RateLimitFromRPC converts a message that was received at now to an observation.
func RateLimitFromRPC(o *rpc.RateObservation, now time.Time) ratelimit.Observation {
	if o == nil {
		return ratelimit.Observation{}
	}
	return ratelimit.Observation{Limited: o.Limited, PerSecond: o.PerSecond, At: now.Add(-time.Duration(o.AgeMs) * time.Millisecond)}
}

func loadToRPC(s *targetstatus.Status) *rpc.TargetLoad {
	return &rpc.TargetLoad{
		Instance: s.Instance, Running: uint32(s.Running), Queued: uint32(s.Queued), Loading: s.Loading,
		LoadWaitMs: uint32(s.LoadWait.Milliseconds()), Awaited: s.PendingModels, Version: s.Version,
		SpeedPercent:     uint32(s.SpeedPercent),
		PromptTokensPerS: uint32(s.PromptTokensPerSecond),
	}
}

// LoadFromRPC converts a message to a target's load.
func LoadFromRPC(l *rpc.TargetLoad) targetstatus.LoadUpdate {
	return targetstatus.LoadUpdate{
		Instance: l.Instance, Version: l.Version,
		Load: targetstatus.Load{
			Running: int(l.Running), Queued: int(l.Queued), Loading: l.Loading,
			LoadWait: time.Duration(l.LoadWaitMs) * time.Millisecond, PendingModels: l.Awaited,
			SpeedPercent:          int(l.SpeedPercent),
			PromptTokensPerSecond: int(l.PromptTokensPerS),
		},
	}
}

// SpeedsToRPC converts an entry host's samples to messages.
func SpeedsToRPC(list []targetspeed.Sample) []*rpc.SpeedSample {
	var out []*rpc.SpeedSample
	for _, s := range list {
		out = append(out, &rpc.SpeedSample{Instance: s.Instance, Responses: s.Responses, PercentSum: s.PercentSum})
	}
	return out
}

// SpeedsFromRPC converts messages to an entry host's samples.
func SpeedsFromRPC(list []*rpc.SpeedSample) []targetspeed.Sample {
	var out []targetspeed.Sample
	for _, s := range list {
		out = append(out, targetspeed.Sample{Instance: s.Instance, Responses: s.Responses, PercentSum: s.PercentSum})
	}
	return out
}

func demandToRPC(d targetstatus.Demand) *rpc.ModelUse {
	return &rpc.ModelUse{
		Model: d.Model, ValuePerS: d.ValuePerSecond, Copies: uint32(d.Copies), Pressed: uint32(d.Saturated), Wanted: uint32(d.Wanted),
	}
}

// DemandFromRPC converts the reply to an agent's report to a change of the demand.
func DemandFromRPC(r *rpc.StandingReportResponse) targetstatus.DemandUpdate {
	u := targetstatus.DemandUpdate{Epoch: r.UseEpoch, Version: r.UseVersion, Whole: r.UseWhole}
	for _, d := range r.Use {
		u.Changed = append(u.Changed, targetstatus.Demand{
			Model: d.Model, ValuePerSecond: d.ValuePerS, Copies: int(d.Copies), Saturated: int(d.Pressed),
			Wanted: int(d.Wanted),
		})
	}
	return u
}
