package control_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/control"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/rpc"
)

// A history is linearizable if some order of the calls, which keeps those that did
// not overlap in their order, explains every answer by one operator's desk and one
// book of claims. A call without an answer may have happened at any later time or
// never: it is put at the end of time.

// call is one operation: a submission, or a claim's opening or settlement.
type operation struct {
	submission string
	replaces   uint64
	key        string
	attempt    string
	settle     coordpb.ClaimState // with key: 0 opens
}

// answer is what the caller was told.
type answer struct {
	unknown  bool
	kind     fault.Kind
	revision uint64
	granted  bool
}

// desk is the model of submissions: the revision in force and each id's first outcome.
type desk struct {
	revision uint64
	outcomes map[string]answer
}

// book is the model of one claim. An attempt that was settled as not run keeps that
// outcome for good: a copy of its settlement gets the same answer after another
// attempt took the key, and a copy of its claim never opens the key again. (A model
// without it called a settlement sent twice illegal, and let a late claim in.)
type book struct {
	attempt  string
	state    coordpb.ClaimState
	released string // attempts settled as not run, each between spaces
}

// gaveBack reports whether an attempt was settled as not run.
func (b book) gaveBack(attempt string) bool {
	return strings.Contains(b.released, " "+attempt+" ")
}

var submissions = porcupine.Model{
	Init: func() any { return desk{outcomes: map[string]answer{}} },
	Step: func(s, in, out any) (bool, any) {
		before, op, got := s.(desk), in.(operation), out.(answer)
		want, resent := before.outcomes[op.submission]
		after := before
		if !resent {
			want = answer{kind: fault.Conflict}
			after.outcomes = maps.Clone(before.outcomes)
			if op.replaces == before.revision {
				after.revision++
				want = answer{revision: after.revision}
			}
			after.outcomes[op.submission] = want
		}
		return got.unknown || got == want, after
	},
	Equal: func(a, b any) bool {
		return a.(desk).revision == b.(desk).revision && maps.Equal(a.(desk).outcomes, b.(desk).outcomes)
	},
}

var claimBook = porcupine.Model{
	Init: func() any { return book{} },
	Step: func(s, in, out any) (bool, any) {
		before, op, got := s.(book), in.(operation), out.(answer)
		after, want := before.step(op)
		return got.unknown || got == want, after
	},
}

func (b book) step(op operation) (book, answer) {
	if op.settle != 0 {
		return b.settled(op)
	}
	switch {
	case b.gaveBack(op.attempt):
		return b, answer{kind: fault.Conflict}
	case b.state == 0 || b.state == coordpb.ClaimState_CLAIM_STATE_NOT_RUN:
		return book{op.attempt, coordpb.ClaimState_CLAIM_STATE_OPEN, b.released}, answer{granted: true}
	}
	return b, answer{granted: b.state == coordpb.ClaimState_CLAIM_STATE_OPEN && b.attempt == op.attempt}
}

func (b book) settled(op operation) (book, answer) {
	switch {
	case b.state == 0:
		return b, answer{kind: fault.NotFound}
	case op.settle == coordpb.ClaimState_CLAIM_STATE_NOT_RUN && b.gaveBack(op.attempt):
		return b, answer{}
	case b.attempt != op.attempt:
		return b, answer{kind: fault.Fenced}
	case b.state == op.settle:
		return b, answer{}
	case b.state != coordpb.ClaimState_CLAIM_STATE_OPEN:
		return b, answer{kind: fault.Conflict}
	}
	after := book{op.attempt, op.settle, b.released}
	if op.settle == coordpb.ClaimState_CLAIM_STATE_NOT_RUN {
		after.released += " " + op.attempt + " "
	}
	return after, answer{}
}

// recorder collects a history.
type recorder struct {
	start time.Time

	mu      sync.Mutex
	random  *rand.Rand
	desk    []porcupine.Operation
	claims  map[string][]porcupine.Operation
	unknown int
}

// pick returns a number below n; the recorder's source is shared by all clients.
func (r *recorder) pick(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// note adds a call that ended now.
func (r *recorder) note(client int, op operation, called time.Duration, got answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	returned := time.Since(r.start)
	if got.unknown {
		r.unknown++
		returned = 1 << 60
	}
	row := porcupine.Operation{ClientId: client, Input: op, Call: int64(called), Output: got, Return: int64(returned)}
	if op.key == "" {
		r.desk = append(r.desk, row)
		return
	}
	r.claims[op.key] = append(r.claims[op.key], row)
}

// act makes one call through some control process, and loses every fifth answer.
func (r *recorder) act(client, i int, roles []*control.Role) {
	role := roles[r.pick(len(roles))]
	called := time.Since(r.start)
	time.Sleep(time.Duration(r.pick(20)) * time.Millisecond)
	var op operation
	var got answer
	if (client+i)%3 == 0 {
		op, got = r.submit(role)
	} else {
		op, got = r.claim(role, fmt.Sprintf("a%d-%d", client, i/2))
	}
	if r.pick(5) == 0 {
		got = answer{unknown: true}
	}
	r.note(client, op, called, got)
}

// submit sends one of few ids, each of which always names the same revision.
func (r *recorder) submit(role *control.Role) (operation, answer) {
	n := r.pick(24)
	op := operation{submission: fmt.Sprint("s", n), replaces: uint64(n / 4)}
	out, err := role.Operators().Submit(background, submitAs(op.submission, op.replaces))
	if err == nil {
		return op, answer{revision: out.Revision}
	}
	return op, refused(err.(*operators.Refusal).Ran, kindOf(err))
}

func (r *recorder) claim(role *control.Role, attempt string) (operation, answer) {
	op := operation{key: fmt.Sprint("k", r.pick(6)), attempt: attempt}
	who := caller("e", "entry", "i", "")
	if r.pick(2) == 0 {
		op.settle = []coordpb.ClaimState{coordpb.ClaimState_CLAIM_STATE_DONE, coordpb.ClaimState_CLAIM_STATE_NOT_RUN}[r.pick(2)]
		_, err := role.Settle(background, &rpc.SettleRequest{Caller: who, Settle: &coordpb.SettleClaim{
			Workspace: "w1", IdempotencyKey: op.key, Attempt: attempt, State: op.settle}})
		return op, refusedTwirp(err)
	}
	resp, err := role.Claim(background, &rpc.ClaimRequest{Caller: who, Claim: &coordpb.OpenClaim{
		Workspace: "w1", IdempotencyKey: op.key, Attempt: attempt, RequestDigest: []byte("order")}})
	if err != nil {
		return op, refusedTwirp(err)
	}
	return op, answer{granted: resp.Granted}
}

func refusedTwirp(err error) answer {
	if err == nil {
		return answer{}
	}
	f := fault.From(rpc.FromTwirp(err))
	return refused(string(f.Ran), f.Kind)
}

func refused(ran string, kind fault.Kind) answer {
	return answer{unknown: ran == string(fault.RanUnknown), kind: kind}
}

// Operators and entry hosts call through all control processes at once, answers are
// lost and calls repeated, leaders change and are cut off.
func TestSubmissionsAndClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		virtual(t, func(t *testing.T, g *WithT) {
			gr, roles := three(t)
			gr.mu.Lock()
			gr.slow = rand.New(rand.NewPCG(seed, 2))
			gr.mu.Unlock()
			r := &recorder{start: time.Now(), random: rand.New(rand.NewPCG(seed, 1)), claims: map[string][]porcupine.Operation{}}
			var wg sync.WaitGroup
			for client := range 5 {
				wg.Go(func() {
					for i := range 24 {
						r.act(client, i, roles)
					}
				})
			}
			wg.Go(func() {
				for range 12 {
					time.Sleep(time.Duration(100+r.pick(300)) * time.Millisecond)
					old := uint64(r.pick(3) + 1)
					gr.put("cut", address(old))
					gr.elect(old%3 + 1)
					time.Sleep(time.Duration(r.pick(300)) * time.Millisecond)
					gr.put("", address(old))
				}
			})
			wg.Wait()
			g.Expect(porcupine.CheckOperationsTimeout(submissions, r.desk, time.Minute)).To(Equal(porcupine.Ok), "submissions, seed %d", seed)
			for _, key := range sortedNames(r.claims) {
				g.Expect(porcupine.CheckOperationsTimeout(claimBook, r.claims[key], time.Minute)).To(Equal(porcupine.Ok), "claim %s, seed %d", key, seed)
			}
			g.Expect(len(r.desk)).To(BeNumerically(">", 20))
		})
	}
}
