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

// Guards against an incomplete table after a leader change that replaces a complete one.
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

// Guards against routing to targets that were removed during a leader change.
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

// Guards against a table that counts as complete before all agents have reported.
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

// Guards against a table that never counts as complete while an agent is down.
func TestABoardDoesNotFillForEver(t *testing.T) {
	g := NewWithT(t)
	table, use := standings.NewTable(1), standings.NewUse(now)
	g.Expect(standings.Filling(table, use, runsModels, now.Add(4*time.Second))).To(BeFalse())
	first := listed("i-1", "10.0.0.1:1")
	table.SetList([]standings.Standing{first}, now)
	g.Expect(standings.Filling(table, use, runsModels, now.Add(time.Second))).To(BeFalse())
}

func runsModels(service string) bool { return service == "s" }

// Guards against losing a target's models with an update of its load.
func TestAnUpdateOfLoadKeepsTheDescription(t *testing.T) {
	g := NewWithT(t)
	k := standings.NewKnown()
	k.Take(standings.Update{Whole: true, Changed: []standings.Standing{holding("i-1", "rare")}})
	before := k.Get("i-1")
	load := standings.LoadUpdate{Instance: "i-1", Version: 7, Load: standings.Load{Running: 5, Queued: 2}}
	unknown := standings.LoadUpdate{Instance: "i-9", Version: 7}
	g.Expect(k.Take(standings.Update{Loads: []standings.LoadUpdate{load, unknown}})).To(BeEmpty())
	g.Expect(k.Get("i-1")).To(And(HaveField("Running", 5), HaveField("Version", uint64(7)), HaveField("Models", HaveLen(1))))
	g.Expect(before.Running).To(BeZero(), "a reader may hold the earlier row")
	g.Expect(k.Get("i-9")).To(BeNil())
}
