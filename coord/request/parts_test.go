package request_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/request"
)

func partsOf(ids string) []request.Part {
	return request.PartsOf(strings.Split(ids, ","), func(id string) string { return id })
}

// partHistory records crashes a second apart, each under the requests given, of which each has a
// content of its own.
type partHistory struct {
	table    *request.PartTable
	now      time.Time
	requests uint64
	crashes  int
}

func newPartHistory() *partHistory {
	return &partHistory{table: request.NewPartTable(nil), now: start}
}

// suspects returns requests with prompts like "a,b,own", of workspace w.
func (h *partHistory) suspects(prompts ...string) []request.PartSuspect {
	var out []request.PartSuspect
	for _, p := range prompts {
		h.requests++
		out = append(out, request.PartSuspect{Workspace: "w", Request: h.requests, Parts: partsOf(p)})
	}
	return out
}

func (h *partHistory) crash(prompts ...string) request.PartChanges {
	h.now = h.now.Add(time.Second)
	h.crashes++
	return h.table.RecordCrash(uint64(h.crashes), h.suspects(prompts...), h.now)
}

func (h *partHistory) refused(prompt string) bool {
	return request.CheckParts(h.table.Rows(), partsOf(prompt), h.now) != nil
}

func (h *partHistory) strikes(id string) int {
	return h.table.Rows()[request.PartOf(id)].Count()
}

var _ = Describe("the parts of a request", func() {
	It("are those before the last, each once and at most MaxParts", func() {
		Expect(partsOf("a,b,c")).To(Equal([]request.Part{request.PartOf("a"), request.PartOf("b")}))
		Expect(partsOf("a,a,c")).To(Equal([]request.Part{request.PartOf("a")}))
		Expect(partsOf(",b,,c")).To(Equal([]request.Part{request.PartOf("b")}), "an empty id is none")
		Expect(partsOf("own")).To(BeEmpty())
		Expect(request.PartsOf(nil, func(id string) string { return id })).To(BeEmpty())
		many := make([]string, 10_000)
		for i := range many {
			many[i] = fmt.Sprint(i)
		}
		Expect(request.PartsOf(many, func(id string) string { return id })).To(HaveLen(request.MaxParts))
	})
})

var _ = Describe("strikes against parts", func() {
	// Guards against targets that crash under a part in requests of which no two are alike.
	It("refuse a part after three crashes, in each request that holds it", func() {
		h := newPartHistory()
		h.crash("bad,a,1")
		h.crash("b,bad,2")
		Expect(h.refused("bad,x,9")).To(BeFalse())
		Expect(h.crash("bad,c,3").Convicted).To(Equal([]request.Part{request.PartOf("bad")}))
		err := request.CheckParts(h.table.Rows(), partsOf("x,bad,9"), h.now)
		Expect(fault.Is(err, fault.Quarantined)).To(BeTrue())
		Expect(fault.From(err).RetryAfter).To(Equal(request.PartRefusal))
		Expect(h.refused("a,b,9")).To(BeFalse())
		Expect(h.refused("x,bad")).To(BeFalse(), "the last part is the request's own")
		Expect(request.CheckParts(nil, partsOf("bad,9"), h.now)).To(Succeed())
	})

	// Guards against counting reports of several hosts, repeated or late ones, as several crashes.
	It("count a crash once, whoever reports it and when", func() {
		h := newPartHistory()
		for i := range 5 {
			h.table.RecordCrash(1, h.suspects("bad,1", "bad,2"), start.Add(time.Duration(i)*time.Minute))
		}
		Expect(h.strikes("bad")).To(Equal(1))
		h.crashes = 1
		h.crash("bad,3")
		h.table.RecordCrash(1, h.suspects("bad,4"), h.now.Add(time.Second))
		Expect(h.strikes("bad")).To(Equal(2))
	})

	// Guards against refusing a text that many ask about as several targets are killed at once.
	It("count targets that end together once", func() {
		h := newPartHistory()
		for i := range uint64(10) {
			h.table.RecordCrash(i+1, h.suspects("new,1"), start.Add(time.Duration(i)*5*time.Millisecond))
		}
		Expect(h.strikes("new")).To(Equal(1))
		Expect(h.refused("new,2")).To(BeFalse())
	})

	// Guards against refusing a user's text for one of his requests that is bad by itself.
	It("do not refuse a part for one request that is repeated", func() {
		h := newPartHistory()
		one := h.suspects("text,bad question")
		for i := range uint64(5) {
			h.table.RecordCrash(100+i, one, start.Add(time.Duration(i)*time.Second))
		}
		Expect(h.refused("text,9")).To(BeFalse())
		h.now = start.Add(time.Minute)
		h.crash("text,other question")
		Expect(h.refused("text,9")).To(BeTrue(), "two requests show that it is the part")
	})

	It("are removed by a run on the part, before and after it is refused", func() {
		h := newPartHistory()
		for range 2 {
			h.crash("sound,1")
		}
		Expect(h.table.Clear(partsOf("sound,1")).Removed).To(HaveLen(1))
		Expect(h.table.Clear(partsOf("sound,1")).Removed).To(BeEmpty())
		for range 2 {
			h.crash("sound,2")
			Expect(h.refused("sound,9")).To(BeFalse())
		}
		h.table.RecordCrash(1, h.suspects("sound,3"), h.now.Add(time.Second))
		Expect(h.refused("sound,9")).To(BeTrue(), "a late report counts as well")
		h.table.Clear(partsOf("sound,1"))
		Expect(h.refused("sound,9")).To(BeFalse())
		Expect(h.table.Rows()).To(BeEmpty())
	})

	// Guards against refusing parts whose requests shared targets with bad ones.
	It("are not held against others in crashes that a refused part explains", func() {
		h := newPartHistory()
		h.crash("bad,1", "sound,1")
		h.crash("bad,2", "sound,2")
		h.crash("bad,3")
		Expect(h.strikes("sound")).To(BeZero(), "taken off")
		for range 5 {
			h.crash("bad,4", "sound,3")
		}
		Expect(h.strikes("sound")).To(BeZero())
		late := uint64(h.crashes)
		h.table.RecordCrash(late, h.suspects("sound,9"), h.now)
		Expect(h.strikes("sound")).To(BeZero(), "another host's report of the same crash")
		Expect(h.table.Explains(late)).To(BeTrue())
	})

	It("refuse two bad parts that come at once", func() {
		h := newPartHistory()
		for range 3 {
			h.crash("bad1,1", "bad2,2")
		}
		h.crash("bad1,3")
		Expect(h.refused("bad1,9")).To(BeTrue(), "the first that crashes a target without the other")
		for range 3 {
			h.crash("bad2,4")
		}
		Expect(h.refused("bad2,9")).To(BeTrue(), "its crashes until then were explained by the other")
		h = newPartHistory()
		for range 3 {
			h.crash("bad1,1")
			h.crash("bad2,2")
		}
		Expect(h.refused("bad1,9")).To(BeTrue())
		Expect(h.refused("bad2,9")).To(BeTrue())
	})

	Describe("of parts that came together only", func() {
		var h *partHistory
		BeforeEach(func() {
			h = newPartHistory()
			for range 3 {
				h.crash("bad,rare,1")
			}
		})

		// Guards against refusing a rare sound part with the bad one in all requests before.
		It("refuse requests that hold all, until a run or a crash shows which is bad", func() {
			Expect(h.refused("bad,rare,9")).To(BeTrue())
			Expect(h.refused("rare,x,9")).To(BeFalse())
			h.table.Clear(partsOf("rare,9"))
			Expect(h.refused("bad,x,9")).To(BeTrue())
			Expect(h.refused("rare,x,9")).To(BeFalse())
		})

		It("refuse the one that crashes a target alone, and free the other", func() {
			Expect(h.refused("bad,x,9")).To(BeFalse())
			h.crash("bad,x,9")
			Expect(h.refused("bad,y,9")).To(BeTrue())
			Expect(h.refused("rare,x,9")).To(BeFalse())
		})

		It("stay so after crashes of requests that hold all, which were sent before", func() {
			for range 5 {
				h.crash("bad,rare,1")
			}
			Expect(h.refused("rare,x,9")).To(BeFalse())
			Expect(h.refused("bad,rare,9")).To(BeTrue())
		})

		It("refuse each of them when both crash a target in requests of their own", func() {
			h.crash("bad,x,9", "rare,y,9")
			Expect(h.refused("bad,y,9")).To(BeTrue())
			Expect(h.refused("rare,x,9")).To(BeTrue())
		})
	})

	// Guards against a bad part that reaches targets again and again for as long as the day lasts.
	It("refuse for a day, and anew at the first crash after it", func() {
		h := newPartHistory()
		for range 3 {
			h.crash("bad,1")
		}
		last := h.now
		h.now = last.Add(request.PartRefusal - 1)
		Expect(h.refused("bad,9")).To(BeTrue())
		h.now = last.Add(request.PartRefusal)
		Expect(h.refused("bad,9")).To(BeFalse())
		Expect(h.table.Expire(h.now).Removed).To(BeEmpty())
		Expect(h.crash("bad,9").Convicted).To(HaveLen(1))
		Expect(h.refused("bad,9")).To(BeTrue())
		h.now = h.now.Add(request.PartMemory)
		Expect(h.table.Expire(h.now).Removed).To(HaveLen(1))
	})

	It("add up though a bad part comes once in an hour", func() {
		h := newPartHistory()
		reached := 0
		for range 20 {
			h.now = h.now.Add(time.Hour)
			if !h.refused("bad,x") {
				h.crash("bad,x")
				reached++
			}
		}
		Expect(reached).To(Equal(request.PartStrikesToRefuse))
	})

	// Guards against a workspace that crashes targets with ever new ids and pushes out others' rows.
	It("are bounded, and a workspace that fills the table loses its own", func() {
		h := newPartHistory()
		for range 3 {
			h.crash("refused,1")
		}
		h.crash("theirs,1")
		for i := range 1200 {
			crash := h.suspects(fmt.Sprint("new", i, ",1"), fmt.Sprint("also", i, ",1"))
			for j := range crash {
				crash[j].Workspace = "flood"
			}
			h.table.RecordCrash(uint64(10_000+i), crash, h.now.Add(time.Duration(i)*time.Second))
		}
		Expect(h.strikes("theirs")).To(Equal(1))
		Expect(h.refused("refused,9")).To(BeTrue())
		Expect(h.table.Rows()).To(HaveLen(request.MaxSuspectedParts + 1))
		for i := range request.MaxConvictedParts + 10 {
			for range 3 {
				h.crash(fmt.Sprint("bad", i, ",1"))
			}
		}
		convicted := 0
		for _, s := range h.table.Rows() {
			if s.Convicted() {
				convicted++
			}
		}
		Expect(convicted).To(Equal(request.MaxConvictedParts))
		Expect(h.strikes("theirs")).To(Equal(1))
	})

	// The rules that hold after any reports, and the same result wherever they are applied.
	It("need three crashes since the last run, and are the same at each member", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			ids := []string{"a", "b", "c", "d"}
			tables := []*request.PartTable{request.NewPartTable(nil), request.NewPartTable(nil)}
			crashes := map[request.Part]map[uint64]bool{}
			now := start
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				if rapid.IntRange(0, 5).Draw(t, "clear") == 0 {
					p := request.PartOf(rapid.SampledFrom(ids).Draw(t, "cleared"))
					delete(crashes, p)
					for _, table := range tables {
						table.Clear([]request.Part{p})
					}
				} else {
					crash := rapid.Uint64Range(1, 12).Draw(t, "crash")
					var suspects []request.PartSuspect
					for i := range rapid.IntRange(0, 3).Draw(t, "suspects") {
						prompt := rapid.SliceOfN(rapid.SampledFrom(ids), 0, 3).Draw(t, "prompt")
						parts := request.PartsOf(append(prompt, "own"), func(id string) string { return id })
						suspects = append(suspects, request.PartSuspect{Workspace: "w", Request: uint64(i + 1), Parts: parts})
						for _, p := range parts {
							if crashes[p] == nil {
								crashes[p] = map[uint64]bool{}
							}
							crashes[p][crash] = true
						}
					}
					for _, table := range tables {
						table.RecordCrash(crash, suspects, now)
					}
				}
				checkPartRows(t, tables[0].Rows(), crashes)
				if fmt.Sprint(tables[0].Rows()) != fmt.Sprint(tables[1].Rows()) {
					t.Fatalf("the members differ")
				}
			}
		})
	})
})

// checkPartRows checks that refused parts were in enough crashes, and that ties are mutual.
func checkPartRows(t *rapid.T, rows request.PartRows, crashes map[request.Part]map[uint64]bool) {
	for p, s := range rows {
		if s.Convicted() && len(crashes[p]) < request.PartStrikesToRefuse {
			t.Fatalf("refused after %d crashes", len(crashes[p]))
		}
		for _, other := range s.Tied {
			if !rows[other].Convicted() || !slices.Contains(rows[other].Tied, p) {
				t.Fatalf("%v is tied to %v, which is not tied to it", p, other)
			}
		}
	}
}

var _ = Describe("parts that targets have run", func() {
	// Guards against refusing popular parts, which are in each crash of a bad one.
	It("are not accused for a minute, and their strikes are reported as cleared", func() {
		c := request.NewCompletedParts()
		parts := partsOf("a,b,own")
		c.Record(parts[:1], start)
		Expect(c.Accused(parts, start)).To(Equal(parts[1:]))
		Expect(c.Accused(parts, start.Add(time.Minute))).To(Equal(parts))
		rows := request.PartRows{parts[0]: {Expires: start.Add(time.Hour)}, parts[1]: {Expires: start.Add(time.Hour)}}
		Expect(c.Cleared(rows, start)).To(Equal(parts[:1]))
		Expect(c.Cleared(rows, start)).To(BeEmpty(), "reported before")
		Expect(c.Cleared(rows, start.Add(time.Second))).To(Equal(parts[:1]), "the report may be lost")
		rows[parts[0]] = request.PartStrikes{Expires: start.Add(2 * time.Hour)}
		Expect(c.Cleared(rows, start.Add(time.Second))).To(Equal(parts[:1]), "a strike since")
		Expect(c.ClearedOf(parts, rows, start.Add(time.Second))).To(BeEmpty(), "reported before")
		Expect(c.ClearedOf(parts, rows, start.Add(2*time.Second))).To(Equal(parts[:1]))
		Expect(c.ClearedOf(parts[1:], rows, start.Add(4*time.Second))).To(BeEmpty())
		Expect(c.Cleared(nil, start)).To(BeEmpty())
	})

	// Guards against a part that was sound, turns bad, and is protected for a minute.
	It("are accused once some targets have crashed since their last run", func() {
		c := request.NewCompletedParts()
		parts := partsOf("a,own")
		c.Record(parts, start)
		now := start
		for range 2 {
			now = now.Add(time.Second)
			Expect(c.Accused(parts, now)).To(BeEmpty())
			Expect(c.Accused(parts, now.Add(time.Millisecond))).To(BeEmpty(), "another request in the same crash")
		}
		now = now.Add(time.Second)
		Expect(c.Accused(parts, now)).To(Equal(parts))
		Expect(c.Cleared(request.PartRows{parts[0]: {}}, now)).To(BeEmpty())
		c.Record(parts, now)
		Expect(c.Accused(parts, now)).To(BeEmpty())
	})

	// Guards against callers who push out what others run by ever new ids.
	It("are bounded, and those used last are kept", func() {
		c := request.NewCompletedParts()
		popular := partsOf("popular,own")
		for i := range 100_000 {
			c.Record(partsOf(fmt.Sprint(i, ",own")), start)
			if i%1000 == 0 {
				c.Record(popular, start)
			}
		}
		Expect(c.Has(popular[0], start)).To(BeTrue())
		Expect(c.Has(request.PartOf("0"), start)).To(BeFalse())
	})
})
