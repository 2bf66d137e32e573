package standings_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/coord/standings"
)

func holding(instance, model string) standings.Standing {
	s := listed(instance, "10.0.0.1:"+instance[2:])
	s.Reported, s.Agent = true, "agent-of-"+instance
	s.Models = []standings.Held{{Name: model}}
	s.AtHand = []string{model}
	return s
}

// Callers ask for a rare model that one target holds. The control leader changes; the
// next leader's board has read nothing and heard no agent yet. A host that took the empty
// board for the truth refused them: "no target can load the model".
func TestAnEmptyNewBoardTakesNothingFromAHost(t *testing.T) {
	g := NewWithT(t)
	k := standings.NewKnown()
	k.Take(standings.Update{Whole: true, Changed: []standings.Standing{holding("i-1", "rare"), holding("i-2", "busy")}})

	g.Expect(k.Take(standings.Update{Whole: true, Filling: true})).To(BeEmpty())
	g.Expect(k.Get("i-1").Models).To(HaveLen(1))

	// The list is read first: it tells nothing of agents and copies.
	fromList := listed("i-1", "10.0.0.1:1")
	fromList.Draining = true
	changes := k.Take(standings.Update{Changed: []standings.Standing{fromList}, Filling: true})
	g.Expect(changes).To(HaveLen(1))
	g.Expect(k.Get("i-1")).To(And(HaveField("Agent", "agent-of-i-1"), HaveField("Draining", true), HaveField("Reported", true)))
	g.Expect(k.Get("i-1").AtHand).To(ConsistOf("rare"))
}

// The board fills. What it does not have by then is gone: a host that went on with what
// it had kept would send callers to a target that was taken away while the leader changed.
func TestAFilledBoardReplacesWhatAHostKept(t *testing.T) {
	g := NewWithT(t)
	k := standings.NewKnown()
	k.Take(standings.Update{Whole: true, Changed: []standings.Standing{holding("i-1", "rare"), holding("i-2", "busy")}})
	k.Take(standings.Update{Whole: true, Filling: true, Changed: []standings.Standing{holding("i-2", "busy")}})

	filled := standings.Update{}
	k.Take(filled)
	g.Expect(k.Stale(filled)).To(BeTrue(), "the whole board must be asked for")
	whole := standings.Update{Whole: true, Changed: []standings.Standing{holding("i-2", "busy")}}
	changes := k.Take(whole)
	g.Expect(changes).To(HaveLen(1))
	g.Expect(changes[0].Gone).To(BeTrue())
	g.Expect(k.Get("i-1")).To(BeNil())
	g.Expect(k.Stale(whole)).To(BeFalse())
}

// A leader's board has read the list, and two of three targets' agents have reported. It
// took the models of the third for not held; it may say so only once all have spoken.
func TestABoardIsFilledWhenTheAgentsOfAllListedTargetsHaveSpoken(t *testing.T) {
	g := NewWithT(t)
	opened := now
	table, use := standings.NewTable(1), standings.NewUse(opened)
	g.Expect(standings.Filling(table, use, runsModels, opened)).To(BeTrue(), "the list was not read")

	first, second := listed("i-1", "10.0.0.1:1"), listed("i-2", "10.0.0.2:1")
	plain := listed("i-3", "10.0.0.3:1")
	plain.Service = "plain"
	table.SetList([]standings.Standing{first, second, plain}, opened)
	table.Report(first, true, opened)
	g.Expect(standings.Filling(table, use, runsModels, opened)).To(BeTrue())
	table.Report(second, true, opened)
	g.Expect(standings.Filling(table, use, runsModels, opened)).To(BeFalse())
}

// An agent is down, or the list cannot be read. A board that waited for them would have
// callers wait for good.
func TestABoardDoesNotFillForEver(t *testing.T) {
	g := NewWithT(t)
	table, use := standings.NewTable(1), standings.NewUse(now)
	g.Expect(standings.Filling(table, use, runsModels, now.Add(4*time.Second))).To(BeFalse())
	first := listed("i-1", "10.0.0.1:1")
	table.SetList([]standings.Standing{first}, now)
	g.Expect(standings.Filling(table, use, runsModels, now.Add(time.Second))).To(BeFalse())
}

func runsModels(service string) bool { return service == "s" }
