package state

import (
	"fmt"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/request"
)

// parts is the aggregate of the parts of prompts that crashed targets. The decisions are those of
// request.PartTable; rows are what it holds, as followers replicate it.
type parts struct {
	table *request.PartTable
	rows  map[string]*coordpb.PartStrikes // by PartID
}

// newParts returns the aggregate with the rows of a snapshot.
func newParts(rows []*coordpb.PartStrikes) parts {
	p, held := parts{rows: map[string]*coordpb.PartStrikes{}}, request.PartRows{}
	for _, row := range rows {
		p.rows[PartID(request.Part(row.Part))] = row
		held[request.Part(row.Part)] = PartStrikes(row)
	}
	p.table = request.NewPartTable(held)
	return p
}

// PartID returns the id of a part's row, as used in tables, tombstones and the audit trail.
func PartID(p request.Part) string { return fmt.Sprintf("%016x", uint64(p)) }

// partOutcome is what a command changed.
type partOutcome struct {
	changed   bool
	removed   []string
	convicted []uint64
	explained []uint64
}

// recordCrashes records a host's report: the crashes, then the parts that targets have run. The
// report doesn't say which came first, and a bad part is never among the latter.
func (p *parts) recordCrashes(m *coordpb.RecordCrashes, at commandContext) (out partOutcome) {
	for _, c := range m.Crashes {
		p.follow(p.table.RecordCrash(request.HashCrash(c.Id), partSuspects(c), time.UnixMilli(at.now)), &out, at)
	}
	p.follow(p.table.Clear(partsFromProto(m.ClearedParts)), &out, at)
	return out
}

// explain reports whether a refused part explains a crash.
func (p *parts) explain(crash string) bool { return p.table.Explains(request.HashCrash(crash)) }

// expire removes the rows that have expired.
func (p *parts) expire(at commandContext) (out partOutcome) {
	p.follow(p.table.Expire(time.UnixMilli(at.now)), &out, at)
	return out
}

// follow brings changes of the table into the rows.
func (p *parts) follow(c request.PartChanges, out *partOutcome, at commandContext) {
	for _, part := range c.Changed {
		p.rows[PartID(part)] = partToProto(part, p.table.Rows()[part], at.revision)
		out.changed = true
	}
	for _, part := range c.Removed {
		id := PartID(part)
		if p.rows[id] == nil {
			continue
		}
		delete(p.rows, id)
		out.removed = append(out.removed, id)
		out.changed = true
	}
	out.convicted = append(out.convicted, partsToProto(c.Convicted)...)
	out.explained = append(out.explained, c.Explained...)
}

func partSuspects(c *coordpb.Crash) []request.PartSuspect {
	var out []request.PartSuspect
	for _, s := range c.Suspects {
		if len(s.Parts) > 0 {
			r := s.GetRequest()
			out = append(out, request.PartSuspect{Workspace: r.GetWorkspace(), Request: request.HashRequest(r.GetFingerprint()), Parts: partsFromProto(s.Parts)})
		}
	}
	return out
}

// PartStrikes returns the strikes of a row.
func PartStrikes(row *coordpb.PartStrikes) request.PartStrikes {
	s := request.PartStrikes{Workspace: row.GetWorkspace(), Tied: partsFromProto(row.GetTied()), Expires: time.UnixMilli(row.GetExpiresUnixMs())}
	if row.GetUntilUnixMs() != 0 {
		s.Until = time.UnixMilli(row.GetUntilUnixMs())
	}
	for _, c := range row.GetCrashes() {
		s.Crashes = append(s.Crashes, request.PartCrash{Crash: c.Crash, Request: c.Request, At: time.UnixMilli(c.AtUnixMs), Counted: c.Counted})
	}
	return s
}

func partToProto(p request.Part, s request.PartStrikes, revision uint64) *coordpb.PartStrikes {
	row := &coordpb.PartStrikes{
		Part: uint64(p), Workspace: s.Workspace, Tied: partsToProto(s.Tied),
		ExpiresUnixMs: s.Expires.UnixMilli(), Revision: revision,
	}
	if s.Convicted() {
		row.UntilUnixMs = s.Until.UnixMilli()
	}
	for _, c := range s.Crashes {
		row.Crashes = append(row.Crashes, &coordpb.PartCrash{Crash: c.Crash, Request: c.Request, AtUnixMs: c.At.UnixMilli(), Counted: c.Counted})
	}
	return row
}

func partsFromProto(list []uint64) []request.Part {
	var out []request.Part
	for _, p := range list {
		out = append(out, request.Part(p))
	}
	return out
}

func partsToProto(list []request.Part) []uint64 {
	var out []uint64
	for _, p := range list {
		out = append(out, uint64(p))
	}
	return out
}
