package e2e

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cowsliptiller/ctl/load"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/standin/engine"
)

// answer is what a caller got for one request.
type answer struct {
	status int
	header http.Header
	body   string
}

// ask sends one request to an entry host, once.
func (f *fleet) ask(entry int, workspace, path, body string, header ...string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, at(f.callers[entry])+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+f.keys[workspace])
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(text)}
}

func completion(model, prompt string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d}`, model, prompt, tokens)
}

// ranTimes counts executions whose body holds a text.
func (f *fleet) ranTimes(text string) int {
	n := 0
	for _, e := range f.executions() {
		if strings.Contains(e.Body, text) {
			n++
		}
	}
	return n
}

// confirm is a call that may not be repeated, of the sample questionnaire.
const confirm = "/v1/services/portal/manifests/confirm"

var _ = Describe("promises as separate processes", func() {
	var f *fleet

	BeforeEach(func() {
		f = newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
		f.configure(vaalkop.example, vaalkop.workspaces...)
	})

	// The target reads a confirmation, books it, and the connection breaks before
	// the answer. The caller cannot know, and sends it again, to the other entry
	// host, after a change of leader too. A second run would bill twice.
	It("runs a confirmation once when its answer is lost and the caller repeats it", func() {
		f.faults(2, engine.Faults{CloseAfterRead: true})
		first := f.ask(0, "labs", confirm, `{"confirm":"drum-7"}`, "Idempotency-Key", "drum-7")
		Expect(first.body).To(ContainSubstring(`"ran":"unknown"`))
		Expect(first.body).To(ContainSubstring(`"repeatable":false`))
		f.faults(2, engine.Faults{})
		again := f.ask(1, "labs", confirm, `{"confirm":"drum-7"}`, "Idempotency-Key", "drum-7")
		Expect(again.body).To(ContainSubstring("already_claimed"))
		old := f.leader()
		f.controls[old].kill()
		f.waitOtherLeader(old)
		again = f.ask(0, "labs", confirm, `{"confirm":"drum-7"}`, "Idempotency-Key", "drum-7")
		Expect(again.body).To(ContainSubstring("already_claimed"))
		Expect(f.ranTimes("drum-7")).To(Equal(1))
	})

	It("gives a repeated confirmation its recorded answer, from the other entry host", func() {
		first := f.ask(0, "labs", confirm, `{"confirm":"drum-8"}`, "Idempotency-Key", "drum-8")
		Expect(first.status).To(Equal(http.StatusOK), first.body)
		again := f.ask(1, "labs", confirm, `{"confirm":"drum-8"}`, "Idempotency-Key", "drum-8")
		Expect(again.status).To(Equal(http.StatusOK), again.body)
		Expect(again.body).To(Equal(first.body))
		other := f.ask(1, "labs", confirm, `{"confirm":"drum-9"}`, "Idempotency-Key", "drum-8")
		Expect(other.body).To(ContainSubstring("key_reused"))
		Expect(f.ranTimes("drum-8") + f.ranTimes("drum-9")).To(Equal(1))
	})

	// One request crashes every target that runs it, and its caller sends it again
	// and again, through both entry hosts. It may cost two crashes and no more.
	It("refuses a request that crashed its targets twice", func() {
		f.warm(vaalkop)
		for i := range 2 {
			f.faults(i, engine.Faults{CrashMarker: "poison"})
		}
		last := answer{}
		for i := range 6 {
			last = f.ask(i%2, "drivers", "/v1/completions", completion("vaalkop-m005", "poison", 8))
		}
		Expect(last.body).To(ContainSubstring("quarantined"))
		Expect(f.ranTimes("poison")).To(BeNumerically("<=", 2))
		Eventually(func() int {
			return f.ask(0, "drivers", "/v1/completions", completion("vaalkop-m005", "well", 8)).status
		}, patience, "200ms").Should(Equal(http.StatusOK), "others are served again")
	})

	// An operator drains a host, or the platform's list shows it as leaving. After a
	// few seconds its target starts nothing new.
	DescribeTable("starts nothing at a leaving host's target after a few seconds", func(leave func()) {
		f.warm(vaalkop)
		const bound = 5 * time.Second
		var left time.Time
		outcomes := traffic(vaalkop.plan(f, 61, 30, 12*time.Second), 30, func() {
			leave()
			left = time.Now()
		})
		judge(f, outcomes, f.executions(), longestDeadline)
		for _, e := range f.record(0).Executions {
			Expect(time.UnixMilli(e.UnixMS)).To(BeTemporally("<", left.Add(bound)))
		}
		Expect(answeredShare(outcomes)).To(BeNumerically(">=", 0.7), table(outcomes))
	},
		Entry("told by an operator", func() { f.must(nil, "host", "drain", "agent-1") }),
		Entry("told by the platform's list", func() { f.platformSays("agent-1", "leaving") }),
	)

	// Guards against calls to a failure domain that operators switch off on the answer, and
	// against targets that stay out of service after its return.
	It("starts nothing in an evacuated failure domain", func() {
		f.warm(vaalkop)
		f.must(nil, "domain", "evacuate", "domain-a")
		before := len(f.executions())
		outcomes, err := load.Run(context.Background(), vaalkop.plan(f, 62, 20, 2*time.Second), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answeredShare(outcomes)).To(BeZero(), table(outcomes))
		Expect(f.executions()).To(HaveLen(before))
		var list operators.EvacuationList
		f.must(&list, "domain", "list")
		Expect(list.Evacuations).To(ConsistOf(HaveValue(And(HaveField("FailureDomain", "domain-a"), HaveField("Evacuated", true)))))
		f.must(nil, "domain", "evacuate", "domain-a", "--undo")
		Eventually(func() int {
			return f.ask(0, "drivers", "/v1/completions", completion("vaalkop-m005", "back", 8)).status
		}, patience, "200ms").Should(Equal(http.StatusOK))
	})

	It("never takes more memory at a target than it has", func() {
		p := vaalkop.plan(f, 71, 20, 5*time.Second)
		p.Models = nil
		for i := 1; i <= 30; i++ {
			p.Models = append(p.Models, fmt.Sprintf("vaalkop-m%03d", i))
		}
		p.Mix = map[load.Shape]int{load.ShapeWhole: 1}
		outcomes := traffic(p, 20, func() { f.crash(0) })
		judge(f, outcomes, f.executions(), longestDeadline)
		for i := range 2 {
			Expect(f.record(i).PeakBytes).To(BeNumerically("<=", int64(56)<<30))
		}
	})

	It("answers bad input with a clear refusal that says not run", func() {
		for _, bad := range []struct{ path, body, kind string }{
			{"/v1/completions", `{"model":`, "invalid_request"},
			{"/v1/completions", completion("vaalkop-m005", "x", math.MaxInt64), "invalid_request"},
			{"/v1/completions", completion("vaalkop-m005", "x", -1), "invalid_request"},
			{"/v1/completions", completion("no-such-model", "x", 1), "not_found"},
			{"/v1/services/portal/no/such/call", "{}", "not_found"},
			{"/v1/completions", completion("vaalkop-m005", strings.Repeat("x", 9<<20), 1), "too_large"},
		} {
			got := f.ask(0, "labs", bad.path, bad.body)
			Expect(got.body).To(ContainSubstring(`"kind":"` + bad.kind + `"`))
			Expect(got.body).To(ContainSubstring(`"ran":"no"`))
		}
		Expect(f.executions()).To(BeEmpty())
	})
})

var _ = Describe("the rate over all entry hosts", func() {
	// One workspace sends several times its rate through both entry hosts while
	// the control leader, who owns its bucket, dies. What its targets generate must
	// stay inside rate x time + burst, and the other workspace must not notice.
	It("is never exceeded, also across a change of the bucket's owner", func() {
		const rate, burst = 400, 1200
		f := newFleet(size{controls: 3, entries: 2, targets: vaalkop.targets})
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", "vaalkop.yaml"))
		Expect(err).NotTo(HaveOccurred())
		limited := bytes.Replace(text, []byte("name: labs, rate: 20000, burst: 120000"),
			fmt.Appendf(nil, "name: labs, rate: %d, burst: %d", rate, burst), 1)
		Expect(limited).NotTo(Equal(text))
		file := f.file("limited.yaml", string(limited))
		f.must(nil, "questionnaire", "submit", "--replaces=0", "--submission-id=first", file)
		f.giveKey("labs")
		f.giveKey("workshops")
		for _, p := range append(f.agents, f.entries...) {
			p.waitReady()
		}
		start := time.Now()
		p := vaalkop.plan(f, 81, 120, 8*time.Second)
		p.Mix = map[load.Shape]int{load.ShapeWhole: 1}
		p.Models, p.MaxTokens = vaalkop.models[:1], 24
		outcomes := traffic(p, 200, func() {
			i := f.leader()
			f.controls[i].kill()
			f.controls[i].start()
		})
		took := time.Since(start)
		judge(f, outcomes, f.executions(), longestDeadline)
		tokens := map[string]int64{}
		refused := map[string]int{}
		for _, o := range outcomes {
			tokens[o.Request.Workspace] += o.Tokens
			if o.Kind == "rate_limited" {
				refused[o.Request.Workspace]++
			}
		}
		Expect(float64(tokens["labs"])).To(BeNumerically("<=", rate*took.Seconds()+burst))
		Expect(refused["labs"]).To(BeNumerically(">", 0))
		Expect(refused["workshops"]).To(BeZero(), "refused inside its rate")
	})
})
