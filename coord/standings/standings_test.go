package standings_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/standings"
)

func TestStandings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "standings")
}

var now = time.Unix(1000, 0)

func listed(instance, address string) standings.Standing {
	return standings.Standing{Instance: instance, Service: "s", Address: address, FailureDomain: "d", Slots: 8}
}

func instances(t *standings.Table) []string {
	var out []string
	for _, s := range t.All() {
		out = append(out, s.Instance)
	}
	return out
}

var _ = Describe("the table of standings", func() {
	It("joins the list with what an agent says", func() {
		t := standings.NewTable(1)
		t.SetList([]standings.Standing{listed("i-1", "10.0.0.1:1"), listed("i-2", "10.0.0.2:1")}, now)
		r := listed("i-1", "10.0.0.1:1")
		r.Slots, r.Running, r.Models = 0, 3, []standings.Held{{Name: "m"}}
		t.Report(r, true, now)
		Expect(instances(t)).To(Equal([]string{"i-1", "i-2"}))
		Expect(t.All()[0]).To(HaveField("Slots", 8))
		Expect(t.All()[0]).To(HaveField("Running", 3))
		Expect(t.All()[0].Reported).To(BeTrue())
		Expect(t.All()[1].Reported).To(BeFalse())
	})

	// A target crashes. The list shows it for seconds, and every entry host sends
	// requests there until each has found out by itself.
	It("keeps a target off that its agent finds dead though the list shows it", func() {
		t := standings.NewTable(1)
		t.SetList([]standings.Standing{listed("i-1", "10.0.0.1:1")}, now)
		t.Report(standings.Standing{Service: "s", Address: "10.0.0.1:1"}, false, now)
		Expect(instances(t)).To(BeEmpty())
		t.Expire(now.Add(standings.DownReportTTL + time.Second))
		Expect(instances(t)).To(Equal([]string{"i-1"}))
	})

	// A target restarts under its address with a new id; the list still has the old
	// one, whose requests the new one refuses.
	It("replaces the listed target by the one that answers its agent", func() {
		t := standings.NewTable(1)
		t.SetList([]standings.Standing{listed("i-1", "10.0.0.1:1")}, now)
		t.Report(listed("i-9", "10.0.0.1:1"), true, now)
		Expect(instances(t)).To(Equal([]string{"i-9"}))
	})

	// A target's address is given to another service's target while its old agent,
	// which finds nothing there any more, still says that it is dead.
	It("does not let an agent of one service deny another service's target", func() {
		t := standings.NewTable(1)
		other := listed("i-5", "10.0.0.1:1")
		other.Service = "other"
		t.SetList([]standings.Standing{other}, now)
		t.Report(standings.Standing{Service: "s", Address: "10.0.0.1:1"}, false, now)
		Expect(instances(t)).To(Equal([]string{"i-5"}))
	})

	It("says that a target leaves if either the list or its agent says so", func() {
		t := standings.NewTable(1)
		s := listed("i-1", "10.0.0.1:1")
		s.Draining = true
		t.SetList([]standings.Standing{s}, now)
		t.Report(listed("i-1", "10.0.0.1:1"), true, now)
		Expect(t.All()[0].Draining).To(BeTrue())
	})

	It("goes back to the list when an agent falls silent", func() {
		t := standings.NewTable(1)
		t.SetList([]standings.Standing{listed("i-1", "10.0.0.1:1")}, now)
		r := listed("i-1", "10.0.0.1:1")
		r.Running = 5
		t.Report(r, true, now)
		t.Expire(now.Add(standings.ReportTTL + time.Millisecond))
		Expect(t.All()[0]).To(HaveField("Running", 0))
	})

	It("tells a holder of any version what brings it up to date", func() {
		t := standings.NewTable(1)
		held := map[string]standings.Standing{}
		version := uint64(0)
		catchUp := func() {
			changed, gone, whole := t.Since(version)
			if whole {
				clear(held)
			}
			for _, id := range gone {
				delete(held, id)
			}
			for _, s := range changed {
				held[s.Instance] = *s
			}
			version = t.Version()
		}
		for round := range 600 {
			var list []standings.Standing
			for i := range 5 {
				if (round+i)%3 != 0 {
					s := listed(fmt.Sprint("i-", i), fmt.Sprint("10.0.0.", i, ":1"))
					s.Slots = round/50 + 1
					list = append(list, s)
				}
			}
			t.SetList(list, now)
			if round%7 != 0 && (round < 200 || round > 500) {
				continue
			}
			catchUp()
			Expect(held).To(HaveLen(len(list)))
			for _, s := range t.All() {
				Expect(held[s.Instance]).To(Equal(*s))
			}
		}
	})
})

// A fleet has grown to hundreds of entry hosts and thousands of targets; the control
// leader's processor is used up by answers to them, and its own callers are not served.
var _ = Describe("the pace of questions", func() {
	It("keeps the leader's answers a second bounded while hosts are added", func() {
		Expect(standings.AskEvery(1)).To(Equal(200 * time.Millisecond))
		Expect(standings.AskEvery(28)).To(Equal(200 * time.Millisecond))
		for hosts := 40; hosts <= 200; hosts += 10 {
			Expect(float64(hosts) / standings.AskEvery(hosts).Seconds()).To(BeNumerically("<=", 201))
		}
		Expect(standings.AskEvery(100_000)).To(BeNumerically("<", standings.ReportTTL))
	})
})

var _ = Describe("the demand for models", func() {
	It("is the worth a second, and ages", func() {
		u := standings.NewUse(now)
		for i := range 300 {
			u.Add("m", 2, now.Add(time.Duration(i)*100*time.Millisecond))
		}
		at := now.Add(30 * time.Second)
		Expect(u.PerSecond("m", at)).To(BeNumerically("~", 20, 4))
		Expect(u.PerSecond("m", at.Add(time.Minute))).To(BeNumerically("<", 0.5))
		Expect(u.Models(at.Add(10 * time.Minute))).To(BeEmpty())
	})

	// The control leader is lost in a busy moment. Its successor has heard of no
	// request yet and says that nothing is asked for; the agents drop the busiest
	// model for a rare one, and its callers are refused until it is loaded again.
	It("is not told before it is known, and near the truth then", func() {
		table, u := standings.NewTable(1), standings.NewUse(now)
		s := listed("i-1", "10.0.0.1:1")
		s.Models, s.Slots, s.Running = []standings.Held{{Name: "busy"}}, 4, 4
		for i := range 10 {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			table.Report(s, true, at)
			u.Add("busy", 2, at)
			_, known := standings.Sum(table, u, at)
			Expect(known).To(BeFalse())
		}
		demand, known := standings.Sum(table, u, now.Add(time.Second))
		Expect(known).To(BeTrue())
		Expect(demand).To(HaveLen(1))
		Expect(demand[0].WorthPerSecond).To(BeNumerically("~", 20, 3))
		Expect(demand[0].Copies).To(Equal(1))
		Expect(demand[0].Pressed).To(Equal(1))
	})
})

var _ = Describe("the homes of a model", func() {
	It("are the same whoever asks, and spread the models", func() {
		count := map[string]int{}
		for m := range 600 {
			model := fmt.Sprint("m", m)
			list := fleet(12)
			first := standings.Homes(list, asked(model))[0].Instance
			list[0], list[7] = list[7], list[0]
			Expect(standings.Homes(list, asked(model))[0].Instance).To(Equal(first))
			count[first]++
		}
		for _, n := range count {
			Expect(n).To(And(BeNumerically(">", 25), BeNumerically("<", 85)))
		}
	})

	It("move only the models of a target that goes", func() {
		moved := 0
		for m := range 300 {
			model := fmt.Sprint("m", m)
			before := standings.Homes(fleet(12), asked(model))[0].Instance
			after := standings.Homes(fleet(11), asked(model))[0].Instance
			if before != "i-11" && before != after {
				moved++
			}
		}
		Expect(moved).To(BeZero())
	})

	It("are first those that load the model, then those with a copy, last those that load another", func() {
		list := fleet(4)
		list[0].Loading, list[1].AtHand, list[2].Loading = "other", []string{"m"}, "m"
		list[0].LoadWait = 5 * time.Second
		homes := standings.Homes(list, asked("m"))
		Expect([]string{homes[0].Instance, homes[1].Instance, homes[3].Instance}).To(Equal([]string{"i-2", "i-1", "i-0"}))
	})
})

// fleet is so many targets that hold and load nothing.
func fleet(n int) []standings.Standing {
	var out []standings.Standing
	for i := range n {
		out = append(out, listed(fmt.Sprint("i-", i), fmt.Sprint("10.0.0.", i, ":1")))
	}
	return out
}

// asked is a model with the usual times of its load.
func asked(model string) standings.Asked {
	return standings.Asked{Model: model, FromStore: 6 * time.Second, FromDisk: time.Second}
}

// Guards against one target that loads all rare models in turn while others are idle.
var _ = Describe("homes under a burst for rare models", func() {
	It("spread it over the targets that would hold the models in time", func() {
		list := fleet(9)
		for m := range 10 {
			model := fmt.Sprint("m", m)
			list[0].AtHand = append(list[0].AtHand, model)
			list[1+m%8].AtHand = append(list[1+m%8].AtHand, model)
		}
		held, last := map[string]time.Duration{}, time.Duration(0)
		for m := range 10 {
			model := fmt.Sprint("m", m)
			home := standings.Homes(list, asked(model))[0].Instance
			held[home] += time.Second
			last = max(last, held[home])
			for i := range list {
				if list[i].Instance == home {
					list[i].LoadWait += time.Second
					list[i].Awaited = append(list[i].Awaited, model)
				}
			}
		}
		Expect(last).To(BeNumerically("<=", 3*time.Second))
	})

	// Guards against two targets that load the same model and each evict another one.
	It("join a load that is asked for already, unless another target is much sooner", func() {
		list := fleet(3)
		for i := range list {
			list[i].AtHand = []string{"m"}
		}
		list[2].Awaited, list[2].LoadWait = []string{"m"}, 900*time.Millisecond
		Expect(standings.Homes(list, asked("m"))[0].Instance).To(Equal("i-2"))
		list[2].LoadWait = 8 * time.Second
		Expect(standings.Homes(list, asked("m"))[0].Instance).NotTo(Equal("i-2"))
	})

	It("are at ease where the target with a copy is pressed", func() {
		list := fleet(2)
		for i := range list {
			list[i].AtHand, list[i].Reported, list[i].Slots = []string{"m"}, true, 4
		}
		list[0].Running = 4
		Expect(standings.Homes(list, asked("m"))[0].Instance).To(Equal("i-1"))
	})
})
