package consensus_test

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cowsliptiller/coord/coordpb"
)

// history records what callers of a register observe: each command writes a unique
// value, and a read returns the latest applied one.
type history struct {
	clock     int64
	writes    map[entryID]porcupine.Operation
	reads     map[uint64]porcupine.Operation
	completed []porcupine.Operation

	revisions map[uint64]uint64 // value -> revision of every value that any member applied
}

// entryID identifies a proposed command by the leader that accepted it and its entry.
type entryID struct{ member, index, term uint64 }

// call is a call on the register: a write of value, or a read.
type call struct {
	write bool
	value uint64
}

func newHistory() history {
	return history{writes: map[entryID]porcupine.Operation{}, reads: map[uint64]porcupine.Operation{}, revisions: map[uint64]uint64{}}
}

func (h *history) operation(input call) porcupine.Operation {
	h.clock++
	return porcupine.Operation{ClientId: int(h.clock), Input: input, Call: h.clock}
}

func (h *history) startWrite(t entryID, value uint64) { h.writes[t] = h.operation(call{true, value}) }

func (h *history) startRead(id uint64) { h.reads[id] = h.operation(call{}) }

// completeWrites completes the writes that wait at this member for this entry. A write
// whose entry was replaced by another one did not take effect.
func (h *history) completeWrites(m *member, e *coordpb.Entry) {
	if e.Kind == coordpb.EntryKind_ENTRY_KIND_COMMAND {
		h.revisions[m.machine.value] = m.machine.revision
	}
	for t, op := range h.writes {
		if t.member != m.id || t.index != e.Index {
			continue
		}
		delete(h.writes, t)
		if t.term == e.Term {
			h.finish(op, result{revision: m.machine.revision})
		}
	}
}

func (h *history) completeRead(id uint64, m stateMachine) {
	op, found := h.reads[id]
	if !found {
		return
	}
	delete(h.reads, id)
	h.finish(op, result{m.revision, m.value})
}

func (h *history) finish(op porcupine.Operation, output result) {
	h.clock++
	op.Return, op.Output = h.clock, output
	h.completed = append(h.completed, op)
}

// operations returns all operations. A write without a reply counts if any member
// applied it, with an open end. A read without a reply is left out.
func (h *history) operations() []porcupine.Operation {
	all := append([]porcupine.Operation(nil), h.completed...)
	for _, op := range h.writes {
		if revision, applied := h.revisions[op.Input.(call).value]; applied {
			op.Return, op.Output = math.MaxInt64, result{revision: revision}
			all = append(all, op)
		}
	}
	return all
}

// result is what a call returns: the revision of a write, or the value read and
// its revision. Unique revisions keep the check fast, because each write fits only one
// position.
type result struct{ revision, value uint64 }

var register = porcupine.Model{
	Init: func() any { return result{} },
	Step: func(state, input, output any) (bool, any) {
		before, a, out := state.(result), input.(call), output.(result)
		if a.write {
			return out.revision == before.revision+1, result{out.revision, a.value}
		}
		return out == before, before
	},
}

// TestLinearizable runs shorter schedules and checks with porcupine that the recorded
// calls are linearizable for one register.
func TestLinearizable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSchedule(t, 2500)
		c := s.run()
		if c.failure != "" {
			t.Fatalf("%s\nschedule: %#v", c.failure, s)
		}
		if verdict := porcupine.CheckOperationsTimeout(register, c.history.operations(), time.Minute); verdict != porcupine.Ok {
			t.Fatalf("history is not linearizable: porcupine returned %v\nschedule: %#v", verdict, s)
		}
	})
}
