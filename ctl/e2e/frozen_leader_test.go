package e2e

import (
	"fmt"
	"strings"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a control leader that is frozen", func() {
	// The leader's process is stopped for longer than its lease, as by an overloaded
	// host, and wakes when another leads and has taken changes. In its first moment
	// it still believes that it leads: it must neither accept a change in place of
	// the old revision, nor answer from its old state, nor unseat the new leader.
	It("does no harm when it wakes", func() {
		f := newFleet(size{controls: 3})
		_, err := f.submit(0, 0, "first", "vaalkop.yaml")
		Expect(err).NotTo(HaveOccurred())
		old := f.leader()
		f.controls[old].signal(syscall.SIGSTOP)
		f.waitOtherLeader(old)
		next := f.leaderBut(old)
		second, err := f.submit(next, 1, "second", "kyklos.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Revision).To(BeEquivalentTo(2))
		others := append(append([]string{}, f.operators[:old]...), f.operators[old+1:]...)
		const keys = 5
		for i := range keys {
			_, err := f.ctlAt(others, "key", "give", "wholesale", fmt.Sprintf("--command-id=while-frozen-%d", i))
			Expect(err).NotTo(HaveOccurred())
		}
		before, err := f.status(next)
		Expect(err).NotTo(HaveOccurred())

		f.controls[old].signal(syscall.SIGCONT)
		_, refused := f.submit(old, 1, "late", "vaalkop.yaml")
		Expect(refused).To(HaveOccurred())
		if out, err := f.ctlAt(f.operators[old:old+1], "key", "list"); err == nil {
			Expect(strings.Count(out, "KeyID")).To(Equal(keys), "the woken leader served a stale list")
		}
		Eventually(func() uint64 {
			s, _ := f.status(old)
			return s.Applied
		}, patience, "100ms").Should(BeNumerically(">=", before.Commit))
		Expect(f.configurationRevision()).To(BeEquivalentTo(2))
		after, err := f.status(f.leaderBut(old))
		Expect(err).NotTo(HaveOccurred())
		Expect(after.LeaderID).To(Equal(before.LeaderID), "the woken leader unseated its successor")
		Expect(after.Term).To(Equal(before.Term))
	})
})
