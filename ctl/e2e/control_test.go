package e2e

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/ctl/load"
)

type submission struct {
	SubmissionID string
	Revision     uint64
}

// submit sends a questionnaire to one control member.
func (f *fleet) submit(member int, replaces uint64, id, example string) (submission, error) {
	var s submission
	out, err := f.ctlAt(f.operators[member:member+1], "questionnaire", "submit",
		fmt.Sprintf("--replaces=%d", replaces), "--submission-id="+id, filepath.Join("..", "..", "examples", example))
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal([]byte(out), &s)
}

func (f *fleet) configurationRevision() uint64 {
	var info struct{ Revision uint64 }
	f.must(&info, "questionnaire", "show")
	return info.Revision
}

func (f *fleet) keysListed() int {
	var list struct{ Keys []struct{ KeyID string } }
	f.must(&list, "key", "list")
	return len(list.Keys)
}

var _ = Describe("control as separate processes", func() {
	var f *fleet

	BeforeEach(func() {
		f = newFleet(size{controls: 3})
	})

	// Two operators submit at the same moment through two control hosts, both in
	// place of the same revision. Were both accepted, one would be lost unseen.
	It("accepts one of two racing submissions and shows the other one which", func() {
		const rounds = 5
		for round := range uint64(rounds) {
			var wg sync.WaitGroup
			accepted := make([]submission, 2)
			refused := make([]error, 2)
			for i := range 2 {
				wg.Go(func() {
					defer GinkgoRecover()
					accepted[i], refused[i] = f.submit(i, round, fmt.Sprintf("operator-%d-round-%d", i, round), "vaalkop.yaml")
				})
			}
			wg.Wait()
			Expect([]bool{refused[0] == nil, refused[1] == nil}).To(ConsistOf(true, false), "%v", refused)
			winner := 0
			if refused[0] != nil {
				winner = 1
			}
			Expect(accepted[winner].Revision).To(Equal(round + 1))
			Expect(refused[1-winner]).To(MatchError(ContainSubstring("exit status 3")))
			Expect(refused[1-winner]).To(MatchError(ContainSubstring(fmt.Sprintf("operator-%d-round-%d", winner, round))))
		}
	})

	// The answer to a submission is lost, and the operator sends it again: to
	// another control host, after a change of leader, and after a restart of all.
	It("gives a resent submission its first outcome, wherever and whenever it comes", func() {
		first, err := f.submit(0, 0, "the-one", "vaalkop.yaml")
		Expect(err).NotTo(HaveOccurred())
		second, err := f.submit(1, first.Revision, "the-next", "kyklos.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(second.Revision).To(Equal(first.Revision + 1))
		resend := func(member int) {
			again, err := f.submit(member, 0, "the-one", "vaalkop.yaml")
			Expect(err).NotTo(HaveOccurred())
			Expect(again).To(Equal(first))
			Expect(f.configurationRevision()).To(Equal(second.Revision))
		}
		resend(2)
		old := f.leader()
		f.controls[old].kill()
		f.waitOtherLeader(old)
		resend((old + 1) % 3)
		f.controls[old].start()
		for _, p := range f.controls {
			if p.running() {
				p.kill()
			}
		}
		for _, p := range f.controls {
			p.start()
		}
		for _, p := range f.controls {
			p.waitReady()
		}
		resend(old)
	})

	// All control processes are killed after hundreds of changes. Snapshots, the
	// truncated log and every counter must bring the same state back.
	It("comes back whole after a kill of all members and 500 changes", func() {
		_, err := f.submit(0, 0, "first", "vaalkop.yaml")
		Expect(err).NotTo(HaveOccurred())
		const changes, workers = 500, 10
		var wg sync.WaitGroup
		for w := range workers {
			wg.Go(func() {
				defer GinkgoRecover()
				for i := range changes / workers {
					f.must(nil, "key", "give", "labs", fmt.Sprintf("--command-id=give-%d-%d", w, i))
				}
			})
		}
		wg.Wait()
		for _, p := range f.controls {
			p.kill()
		}
		for _, p := range f.controls {
			p.start()
		}
		for _, p := range f.controls {
			p.waitReady()
		}
		Expect(f.keysListed()).To(Equal(changes))
		Expect(f.configurationRevision()).To(BeEquivalentTo(1))
		var trail struct{ Records []struct{ Sequence uint64 } }
		f.must(&trail, "audit", "--limit=1000")
		Expect(len(trail.Records)).To(BeNumerically(">=", changes))
	})

	// A host's disk is lost and its process started again with an empty folder
	// under the same id. If it voted, a change acknowledged by its old self and one
	// other member could be voted away. It stops, and is replaced as a new member;
	// then another host is lost at once, and nothing acknowledged is.
	It("refuses a lost disk under its old id, replaces the member, and bears the next loss", func() {
		_, err := f.submit(0, 0, "first", "vaalkop.yaml")
		Expect(err).NotTo(HaveOccurred())
		f.giveKey("labs")
		lost := (f.leader() + 1) % 3
		f.controls[lost].kill()
		folder := filepath.Join(f.dir, f.controls[lost].name)
		Expect(os.RemoveAll(folder)).To(Succeed())
		f.controls[lost].start()
		f.controls[lost].waitExit()
		Expect(f.controls[lost].err).To(HaveOccurred(), "an empty disk under a known id went on")

		f.must(nil, "member", "remove", fmt.Sprintf("--id=%d", lost+1))
		replacement := f.addMember(4)
		f.must(nil, "member", "add", "--id=4", "--address="+f.controlAt[replacement])
		f.controls[replacement].start()
		f.waitVoter(4)

		second := (lost + 1) % 3
		f.controls[second].kill()
		f.giveKey("labs")
		Expect(f.keysListed()).To(Equal(2))
		Expect(f.configurationRevision()).To(BeEquivalentTo(1))
	})

	// A member is cut off while the others take changes. It must not answer
	// operators from its old state, and its return must not unseat the leader.
	It("neither serves stale answers nor disturbs the others after a long cut", func() {
		_, err := f.submit(0, 0, "first", "vaalkop.yaml")
		Expect(err).NotTo(HaveOccurred())
		leader := f.leader()
		away := (leader + 1) % 3
		for i, r := range f.toControl {
			if i != away {
				r.silence()
			}
		}
		f.controls[away].signal(syscall.SIGSTOP)
		f.toControl[away].partition()
		others := append(append([]string{}, f.operators[:away]...), f.operators[away+1:]...)
		for i := range 20 {
			_, err := f.ctlAt(others, "key", "give", "labs", fmt.Sprintf("--command-id=while-away-%d", i))
			Expect(err).NotTo(HaveOccurred())
		}
		before, err := f.status(f.leaderBut(away))
		Expect(err).NotTo(HaveOccurred())
		f.controls[away].signal(syscall.SIGCONT)
		if out, err := f.ctlAt(f.operators[away:away+1], "key", "list"); err == nil {
			Expect(strings.Count(out, "KeyID")).To(Equal(20), "a member that was cut off served a stale list")
		}
		f.toControl[away].heal()
		Eventually(func() uint64 {
			s, _ := f.status(away)
			return s.Applied
		}, patience, "100ms").Should(BeNumerically(">=", before.Commit))
		after, err := f.status(f.leaderBut(away))
		Expect(err).NotTo(HaveOccurred())
		Expect(after.LeaderID).To(Equal(before.LeaderID), "the return of a member unseated the leader")
		Expect(after.Term).To(Equal(before.Term))
	})

	It("starts a new group from a backup", func() {
		_, err := f.submit(0, 0, "first", "kyklos.yaml")
		Expect(err).NotTo(HaveOccurred())
		f.giveKey("wholesale")
		file := filepath.Join(f.dir, "backup")
		_, err = f.ctl("backup", file)
		Expect(err).NotTo(HaveOccurred())
		for _, p := range f.controls {
			p.kill()
			Expect(os.RemoveAll(filepath.Join(f.dir, p.name))).To(Succeed())
			p.args = append(p.args, "--control-restore="+file)
		}
		for _, p := range f.controls {
			p.start()
		}
		for _, p := range f.controls {
			p.waitReady()
		}
		Expect(f.keysListed()).To(Equal(1))
		// The numbers of the new group begin above all that the lost one can have given
		// out after the backup, so that no process takes an old decision for a newer one.
		Expect(f.configurationRevision()).To(BeNumerically(">", 1))
	})
})

// addMember declares a control process that joins; it is started later.
func (f *fleet) addMember(id int) int {
	i := len(f.controls)
	r := newRelay("127.0.0.1:0", ports(1)[0])
	f.toControl = append(f.toControl, r)
	f.controlAt = append(f.controlAt, r.address)
	at := ports(2)
	name := fmt.Sprintf("control-%d", id)
	args := append(f.common("control", name, f.domain(0), r, r.to, at[0]),
		"--control-data="+filepath.Join(f.dir, name), fmt.Sprintf("--control-member-id=%d", id), "--control-join",
		"--operator-address="+at[1], "--operator-token-file="+f.token)
	f.operators = append(f.operators, at[1])
	f.controls = append(f.controls, f.daemon(name, at[0], args))
	return i
}

// waitVoter waits until a member has caught up and votes.
func (f *fleet) waitVoter(id uint64) {
	Eventually(func() bool {
		var s struct {
			Members []struct {
				ID      uint64
				Learner bool
			}
		}
		f.must(&s, "status")
		for _, m := range s.Members {
			if m.ID == id {
				return !m.Learner
			}
		}
		return false
	}, patience, "100ms").Should(BeTrue(), "member never became a voter")
}

var _ = Describe("keys as separate processes", func() {
	// A key is withdrawn while its callers are connected and send. Once the
	// withdrawal is acknowledged, nothing of theirs starts, on whatever connection.
	It("starts nothing for a withdrawn key after the withdrawal is acknowledged", func() {
		f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
		f.configure(vaalkop.example, vaalkop.workspaces...)
		f.warm(vaalkop)
		var acknowledged time.Time
		outcomes := traffic(vaalkop.plan(f, 51, 60, 6*time.Second), 60, func() {
			f.must(nil, "key", "withdraw", f.keyIDs["labs"])
			acknowledged = time.Now()
		})
		executions := f.executions()
		judge(f, outcomes, executions, longestDeadline)
		for _, e := range executions {
			if e.Workspace == "labs" {
				Expect(time.UnixMilli(e.UnixMS)).To(BeTemporally("<=", acknowledged), "it ran after the withdrawal")
			}
		}
		refused := 0
		for _, o := range outcomes {
			if o.Request.Workspace == "labs" && o.Kind == "unauthenticated" {
				refused++
			}
			if o.Request.Workspace != "labs" {
				Expect(o.Result).To(Equal(load.Answered), "%+v", o)
			}
		}
		Expect(refused).To(BeNumerically(">", 0))
	})
})
