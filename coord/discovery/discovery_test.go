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

const noLimit = 1000 // above the number of recipients in any test

var start = time.Unix(1000, 0)

// run returns the times of the announcements to each address until end. The function
// outcome determines the outcome of each.
func run(a *discovery.Announcer, end time.Duration, outcome func(address string, now time.Duration) discovery.Outcome) map[string][]time.Duration {
	sent := map[string][]time.Duration{}
	for now := time.Duration(0); now <= end; now += 50 * time.Millisecond {
		for _, address := range a.Due(start.Add(now), noLimit) {
			sent[address] = append(sent[address], now)
			a.Done(address, outcome(address, now), start.Add(now))
		}
	}
	return sent
}

func always(o discovery.Outcome) func(string, time.Duration) discovery.Outcome {
	return func(string, time.Duration) discovery.Outcome { return o }
}

var _ = Describe("the announcer", func() {
	var a *discovery.Announcer
	BeforeEach(func() { a = discovery.NewAnnouncer() })

	// Guards against a restarted seed that receives no announcement within 1 s.
	It("announces to each seed at least once per second, whatever the outcome", func() {
		a.SetRecipients([]string{"s1", "s2"}, nil, start)
		for _, times := range run(a, 10*time.Second, always(discovery.Following)) {
			Expect(times[0]).To(BeZero())
			for i, t := range times[1:] {
				Expect(t - times[i]).To(BeNumerically("<", time.Second))
			}
		}
	})

	// Guards against a fleet that restarts with seeds without addresses of the control group.
	It("announces to every registered process at once, and retries unreachable ones within seconds", func() {
		var hosts []string
		for i := range 350 {
			hosts = append(hosts, fmt.Sprintf("h%03d", i))
		}
		a.SetRecipients(nil, hosts, start)
		sent := run(a, 30*time.Second, func(address string, now time.Duration) discovery.Outcome {
			if address == "h007" && now < 12*time.Second {
				return discovery.Unreachable
			}
			return discovery.Following
		})
		Expect(sent).To(HaveLen(350))
		for address, times := range sent {
			Expect(times[0]).To(BeZero())
			if address != "h007" {
				Expect(times).To(HaveLen(1))
			}
		}
		last := sent["h007"][len(sent["h007"])-1]
		Expect(last).To(BeNumerically(">=", 12*time.Second))
		Expect(last).To(BeNumerically("<", 21*time.Second))
	})

	// Guards against traffic that grows with the number of permanently lost processes.
	It("backs off from processes that never answer", func() {
		a.SetRecipients(nil, []string{"gone"}, start)
		Expect(len(run(a, time.Minute, always(discovery.Unreachable))["gone"])).To(BeNumerically("<", 13))
	})

	It("announces again to a process that stopped polling, and to none twice at a time", func() {
		a.SetRecipients(nil, []string{"h"}, start)
		Expect(a.Due(start, noLimit)).To(Equal([]string{"h"}))
		Expect(a.Due(start.Add(time.Hour), noLimit)).To(BeEmpty())
		a.Done("h", discovery.Following, start)
		a.SetRecipients(nil, nil, start.Add(time.Second))
		a.SetRecipients(nil, []string{"h"}, start.Add(2*time.Second))
		Expect(a.Due(start.Add(2*time.Second), noLimit)).To(Equal([]string{"h"}))
	})

	It("returns no more recipients than the limit", func() {
		a.SetRecipients([]string{"a", "b"}, []string{"c"}, start)
		Expect(a.Due(start, 2)).To(Equal([]string{"a", "b"}))
		Expect(a.Due(start, 2)).To(Equal([]string{"c"}))
	})
})

var _ = Describe("announcements", func() {
	It("are relayed for as long as they are repeated", func() {
		table := discovery.NewAnnouncements()
		table.Record("m1", []string{"m1", "m2"}, start)
		table.Record("m3", []string{"m1", "m3"}, start)
		Expect(table.Addresses(start)).To(Equal([]string{"m1", "m2", "m3"}))
		later := start.Add(9 * time.Second)
		table.Record("m3", []string{"m3"}, later)
		Expect(table.Addresses(later.Add(2 * time.Second))).To(Equal([]string{"m3"}))
		Expect(table.Addresses(later.Add(time.Minute))).To(BeEmpty())
	})
})

// BenchmarkRound measures a round of announcements in which no recipient is due.
func BenchmarkRound(b *testing.B) {
	var hosts []string
	for i := range 350 {
		hosts = append(hosts, fmt.Sprintf("10.0.%d.%d:7600", i/200, i%200+1))
	}
	a := discovery.NewAnnouncer()
	a.SetRecipients(nil, hosts, start)
	for _, address := range a.Due(start, noLimit) {
		a.Done(address, discovery.Following, start)
	}
	for b.Loop() {
		a.SetRecipients(nil, hosts, start)
		a.Due(start, noLimit)
	}
}
