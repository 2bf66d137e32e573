package discovery_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/coord/discovery"
)

func TestDiscovery(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "discovery")
}

const everybody = 1000

var start = time.Unix(1000, 0)

// at returns the times of the announcements to each address up to an end, given the outcome
// of each.
func at(a *discovery.Announcer, end time.Duration, answer func(address string, now time.Duration) discovery.Outcome) map[string][]time.Duration {
	told := map[string][]time.Duration{}
	for now := time.Duration(0); now <= end; now += 50 * time.Millisecond {
		for _, address := range a.Due(start.Add(now), everybody) {
			told[address] = append(told[address], now)
			a.Done(address, answer(address, now), start.Add(now))
		}
	}
	return told
}

func always(o discovery.Outcome) func(string, time.Duration) discovery.Outcome {
	return func(string, time.Duration) discovery.Outcome { return o }
}

var _ = Describe("the announcer", func() {
	var a *discovery.Announcer
	BeforeEach(func() { a = discovery.NewAnnouncer() })

	// Guards against restarted seeds that receive no announcement within a second.
	It("tells each seed within any second, whatever it answers", func() {
		a.SetAudience([]string{"s1", "s2"}, nil, start)
		for _, times := range at(a, 10*time.Second, always(discovery.Following)) {
			Expect(times[0]).To(BeZero())
			for i, t := range times[1:] {
				Expect(t - times[i]).To(BeNumerically("<", time.Second))
			}
		}
	})

	// Guards against a fleet that restarts with seeds that do not know the control group.
	It("tells every registered process at once, and those out of reach again within seconds", func() {
		var hosts []string
		for i := range 350 {
			hosts = append(hosts, fmt.Sprintf("h%03d", i))
		}
		a.SetAudience(nil, hosts, start)
		told := at(a, 30*time.Second, func(address string, now time.Duration) discovery.Outcome {
			if address == "h007" && now < 12*time.Second {
				return discovery.Unreachable
			}
			return discovery.Following
		})
		Expect(told).To(HaveLen(350))
		for address, times := range told {
			Expect(times[0]).To(BeZero())
			if address != "h007" {
				Expect(times).To(HaveLen(1))
			}
		}
		last := told["h007"][len(told["h007"])-1]
		Expect(last).To(BeNumerically(">=", 12*time.Second))
		Expect(last).To(BeNumerically("<", 21*time.Second))
	})

	// Guards against traffic that grows with what is gone for good.
	It("tells processes that never answer less and less often", func() {
		a.SetAudience(nil, []string{"gone"}, start)
		Expect(len(at(a, time.Minute, always(discovery.Unreachable))["gone"])).To(BeNumerically("<", 13))
	})

	It("tells a process again that stopped polling, and nobody twice at a time", func() {
		a.SetAudience(nil, []string{"h"}, start)
		Expect(a.Due(start, everybody)).To(Equal([]string{"h"}))
		Expect(a.Due(start.Add(time.Hour), everybody)).To(BeEmpty())
		a.Done("h", discovery.Following, start)
		a.SetAudience(nil, nil, start.Add(time.Second))
		a.SetAudience(nil, []string{"h"}, start.Add(2*time.Second))
		Expect(a.Due(start.Add(2*time.Second), everybody)).To(Equal([]string{"h"}))
	})

	It("tells no more at once than it is asked to", func() {
		a.SetAudience([]string{"a", "b"}, []string{"c"}, start)
		Expect(a.Due(start, 2)).To(Equal([]string{"a", "b"}))
		Expect(a.Due(start, 2)).To(Equal([]string{"c"}))
	})
})

var _ = Describe("announcements", func() {
	It("are passed on for as long as they are repeated", func() {
		heard := discovery.NewAnnouncements()
		heard.Note("m1", []string{"m1", "m2"}, start)
		heard.Note("m3", []string{"m1", "m3"}, start)
		Expect(heard.Addresses(start)).To(Equal([]string{"m1", "m2", "m3"}))
		later := start.Add(9 * time.Second)
		heard.Note("m3", []string{"m3"}, later)
		Expect(heard.Addresses(later.Add(2 * time.Second))).To(Equal([]string{"m3"}))
		Expect(heard.Addresses(later.Add(time.Minute))).To(BeEmpty())
	})
})

// BenchmarkRound measures a round of announcements that finds nobody due.
func BenchmarkRound(b *testing.B) {
	var hosts []string
	for i := range 350 {
		hosts = append(hosts, fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200+1))
	}
	a := discovery.NewAnnouncer()
	a.SetAudience(nil, hosts, start)
	for _, address := range a.Due(start, everybody) {
		a.Done(address, discovery.Following, start)
	}
	for b.Loop() {
		a.SetAudience(nil, hosts, start)
		a.Due(start, everybody)
	}
}
