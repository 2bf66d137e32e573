package consensus_test

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cowsliptiller/coord/coordpb"
)

// history records what callers of a register see: each command writes a value of
// its own, and a read returns the newest applied one.
type history struct {
	moment int64
	writes map[ticket]porcupine.Operation
	reads  map[uint64]porcupine.Operation
	done   []porcupine.Operation

	revisions map[uint64]uint64 // value -> revision, of what any member applied
}

// ticket is the caller's end of a command: the leader that took it and its entry.
type ticket struct{ member, index, term uint64 }

// access is one call on the register.
type access struct {
	write bool
	value uint64
}

func newHistory() history {
	return history{writes: map[ticket]porcupine.Operation{}, reads: map[uint64]porcupine.Operation{}, revisions: map[uint64]uint64{}}
}

func (h *history) operation(input access) porcupine.Operation {
	h.moment++
	return porcupine.Operation{ClientId: int(h.moment), Input: input, Call: h.moment}
}

func (h *history) write(t ticket, value uint64) { h.writes[t] = h.operation(access{true, value}) }

func (h *history) read(id uint64) { h.reads[id] = h.operation(access{}) }

// applied ends the write whose caller waits at this member for this entry. If
// another entry took its place, the write never happened.
func (h *history) applied(m *member, e *coordpb.Entry) {
	if e.Kind == coordpb.EntryKind_ENTRY_KIND_COMMAND {
		h.revisions[m.machine.value] = m.machine.revision
	}
	for t, op := range h.writes {
		if t.member != m.id || t.index != e.Index {
			continue
		}
		delete(h.writes, t)
		if t.term == e.Term {
			h.finish(op, seen{revision: m.machine.revision})
		}
	}
}

func (h *history) answered(id uint64, m machine) {
	op, found := h.reads[id]
	if !found {
		return
	}
	delete(h.reads, id)
	h.finish(op, seen{m.revision, m.value})
}

func (h *history) finish(op porcupine.Operation, output seen) {
	h.moment++
	op.Return, op.Output = h.moment, output
	h.done = append(h.done, op)
}

// whole returns all operations. A write whose caller got no answer counts if any
// member applied it, at any time since. A read without an answer says nothing.
func (h *history) whole() []porcupine.Operation {
	all := append([]porcupine.Operation(nil), h.done...)
	for _, op := range h.writes {
		if revision, applied := h.revisions[op.Input.(access).value]; applied {
			op.Return, op.Output = math.MaxInt64, seen{revision: revision}
			all = append(all, op)
		}
	}
	return all
}

// seen is what a caller gets: the revision that a write made, or the value and
// its revision. Revisions keep the check fast: a write fits in one place only.
type seen struct{ revision, value uint64 }

var register = porcupine.Model{
	Init: func() any { return seen{} },
	Step: func(state, input, output any) (bool, any) {
		before, a, out := state.(seen), input.(access), output.(seen)
		if a.write {
			return out.revision == before.revision+1, seen{out.revision, a.value}
		}
		return out == before, before
	},
}

// TestLinearizable plays shorter schedules and asks porcupine whether what the
// callers saw fits one register.
func TestLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, 2500)
		c := s.run()
		if c.broken != "" {
			t.Fatalf("%s\nschedule: %#v", c.broken, s)
		}
		if verdict := porcupine.CheckOperationsTimeout(register, c.history.whole(), time.Minute); verdict != porcupine.Ok {
			t.Fatalf("porcupine's verdict on the history: %v\nschedule: %#v", verdict, s)
		}
	})
}
