package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"cowsliptiller/platform"
)

// streamHeader is a request for a stream that is longer than the socket buffers on its way.
var streamHeader = strings.Replace(withKey("key-1", fmt.Sprintf("Model: m1\r\n%s: %d\r\nContent-Length: 0", headerPadding, 8*slowPadding)), "/order/", "/stream/", 1)

// floodedBy is a request to which a target sends an endless response.
func floodedBy(kind, path string) string {
	fields := headerFlood + ": " + kind + "\r\nContent-Length: 0"
	if path == "/stream/" {
		fields = "Model: m1\r\n" + fields
	}
	return strings.Replace(withKey("key-1", fields), "/order/", path, 1)
}

// emptyObjects sends a whole document of about that many bytes, which takes many times as much memory when it
// is decoded.
func emptyObjects(size int) func(io.Writer) error {
	text := `{"Routes":[` + strings.Repeat("{},", size/3) + `{}]}`
	return func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return err
	}
}

// crowdCase is a crowd at a port of an entry host.
type crowdCase struct {
	name    string
	port    int
	members int
	send    func(io.Writer) error
	unread  bool
}

var crowdCases = []crowdCase{
	{"whole bodies", portCallers, crowdBodies, bodies(withKey("key-1", withLength(crowdBody)), crowdBody, crowdBody), false},
	{"whole bodies whose answers are not read", portCallers, crowdBodies, bodies(withKey("key-1", withLength(crowdBody)), crowdBody, crowdBody), true},
	{"bodies that stop short of their end", portCallers, crowdBodies, bodies(withKey("key-1", withLength(crowdBody)), crowdBody-1, crowdBody), false},
	{"bodies in pieces that stop short of their end", portCallers, crowdBodies, bodies(withKey("key-1", withLength(crowdBody)), crowdBody-1, crowdPieces), false},
	{"large chunks without the last one", portCallers, crowdBodies, chunkedBodies(withKey("key-1", chunked), crowdBody, crowdBody/4), false},
	{"small chunks without the last one", portCallers, crowdBodies, chunkedBodies(withKey("key-1", chunked), crowdBody, 8), false},
	{"bodies announced far over the limit", portCallers, crowdBodies, bodies(withKey("key-1", withLength(crowdFarOver)), 4*crowdBody, crowdPieces), false},
	{"chunks far over the limit", portCallers, crowdBodies, chunkedBodies(withKey("key-1", chunked), 4*crowdBody, crowdPieces), false},
	{"bodies with an unknown key", portCallers, crowdBodies, bodies(withKey("no-key", withLength(crowdBody)), crowdBody-1, crowdBody), false},
	{"headers without an end", portCallers, crowdHeads, bodies(callerHeader+"Padding: ", 60<<10, crowdPieces), false},
	{"one byte of a body", portCallers, crowdSilent, bodies(withKey("key-1", withLength(crowdBody)), 1, 1), false},
	{"connections without a byte", portCallers, crowdSilent, bodies("", 0, 1), false},
	{"streams that are not read", portCallers, crowdBodies, bodies(streamHeader, 0, 1), true},
	{"operators' documents that stop short of their end", portControl, 24, bodies("PUT /config HTTP/1.1\r\nHost: x\r\nContent-Length: 8388608\r\n\r\n", 8<<20-1, 64<<10), false},
	{"operators' documents of empty objects", portControl, 8, emptyObjects(8 << 20), false},
	{"operators' connections without a byte", portControl, crowdSilent, bodies("", 0, 1), false},
	{"connections without a byte of the readiness listener", portReady, crowdSilent, bodies("", 0, 1), false},
	{"connections without a byte of the metrics listener", portMetrics, crowdSilent, bodies("", 0, 1), false},
	{"internal bodies without a proof", portInternal, crowdBodies, bodies("POST /twirp/x HTTP/1.1\r\nHost: x\r\nContent-Length: 8388608\r\n\r\n", 8<<20-1, 64<<10), false},
	{"internal connections without a byte", portInternal, crowdSilent, bodies("", 0, 1), false},
}

// Guards against clients that use up the memory or the descriptors of an entry host: its process ends, or
// callers inside the limits get no answer.
func TestCrowdsDoNotStopAnEntryHost(t *testing.T) {
	binary := buildServer(t)
	for _, c := range crowdCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, binary, 0) })
	}
}

// floodCases are crowds whose requests get endless responses.
var floodCases = []crowdCase{
	{"heads", portCallers, crowdBodies, bodies(floodedBy("head", "/order/"), 0, 1), false},
	{"bodies", portCallers, crowdBodies, bodies(floodedBy("body", "/order/"), 0, 1), false},
	{"bodies that are not read", portCallers, crowdBodies, bodies(floodedBy("body", "/order/"), 0, 1), true},
	{"chunks that are not read", portCallers, crowdBodies, bodies(floodedBy("chunks", "/order/"), 0, 1), true},
	{"sizes of chunks", portCallers, crowdBodies, bodies(floodedBy("sizes", "/order/"), 0, 1), false},
	{"events", portCallers, crowdBodies, bodies(floodedBy("event", "/stream/"), 0, 1), false},
}

// Guards against targets' responses without end that use up the memory of an entry host.
func TestEndlessResponsesDoNotStopAnEntryHost(t *testing.T) {
	binary := buildServer(t)
	for _, c := range floodCases {
		t.Run(c.name, func(t *testing.T) { c.run(t, binary, minFlood, "m1") })
	}
}

// Guards against a crowd for a model that no target holds, whose calls for a load take a connection to the agent each.
func TestACrowdForAModelThatIsNotLoaded(t *testing.T) {
	c := crowdCase{"streams", portCallers, crowdBodies, bodies(floodedBy("event", "/stream/"), 0, 1), false}
	c.run(t, buildServer(t), minFlood)
}

// run sends the crowd and an ordinary request to a fleet that has loaded models. flooded is how many bytes of endless
// responses have been sent before the ordinary request.
func (c crowdCase) run(t *testing.T, binary string, flooded int64, models ...string) {
	g := NewWithT(t)
	f := newCrowdFleet(t, binary)
	h := f.hosts[0]
	for _, m := range models {
		g.Eventually(func() int { return f.sendBody(h, "/stream/x", nil, platform.HeaderModel, m) }, recoveryTimeout).Should(Equal(http.StatusOK))
	}
	pid := h.process.cmd.Process.Pid
	most := watchUsage(pid, h.ip)
	crowd := &crowd{address: fmt.Sprintf("%s:%d", h.ip, c.port), members: c.members, send: c.send, unread: c.unread}
	stop := crowd.start()
	defer stop()
	crowd.arrived.Wait()
	g.Eventually(f.history.flooded.Load, recoveryTimeout).Should(BeNumerically(">=", flooded))
	g.Eventually(func() int { return f.sendOrdinary(h) }, recoveryTimeout).Should(Equal(http.StatusOK), "an ordinary request beside the crowd")
	used := most()
	t.Logf("%d MiB, %d of them unread, %d descriptors, %d connections were answered", used.memory>>20, used.unread>>20, used.files, crowd.responses.Load())
	g.Expect(f.history.recordedFailures()).To(BeEmpty())
	g.Expect(used.memory).To(And(BeNumerically(">", 0), BeNumerically("<=", crowdMemory)), "resident and unread bytes")
	g.Expect(used.files).To(And(BeNumerically(">", 0), BeNumerically("<=", crowdFiles-reservedFiles)), "open descriptors")
}

// newCrowdFleet returns a fleet with a deployment whose first entry host serves requests.
func newCrowdFleet(t *testing.T, binary string) *fleet {
	g := NewWithT(t)
	dir := t.TempDir()
	f, err := newLimitedFleet(binary, dir, crowdLimits)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() {
		f.close()
		if t.Failed() {
			saveLogs(t, dir, 0)
		}
	})
	o := &operator{fleet: f, client: &http.Client{Transport: &http.Transport{}}}
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	g.Expect(o.write(ctx, rand.New(rand.NewPCG(1, 1)), true)).To(BeTrue())
	g.Eventually(func() int { return f.sendOrdinary(f.hosts[0]) }, recoveryTimeout).Should(Equal(http.StatusOK))
	return f
}

// sendOrdinary sends a small request to an entry host on a connection of its own and returns the status of
// its complete response; 0 if it gets none.
func (f *fleet) sendOrdinary(h *host) int {
	return f.sendBody(h, "/lookup/x", bytes.NewReader(make([]byte, 2<<10)))
}

// sendBody sends a request with further headers, as sendOrdinary does.
func (f *fleet) sendBody(h *host, path string, body io.Reader, headers ...string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", h.ip, portCallers, path), body)
	if err != nil {
		return 0
	}
	req.Host = "soak.example"
	req.Header.Set(platform.HeaderRequestID, fmt.Sprint("ordinary-", rand.Uint64()))
	req.Header.Set("Authorization", "Bearer key-2")
	req.Header.Set(platform.HeaderDeadline, "4000")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return do(req)
}

// do returns the status of a request's complete response; 0 if it gets none.
func do(req *http.Request) int {
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// slowBody sends its bytes in pieces with pauses.
type slowBody struct{ left, piece int }

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	<-time.After(50 * time.Millisecond)
	n := min(b.left, b.piece, len(p))
	b.left -= n
	return n, nil
}

// Guards against limits that refuse a caller inside the limits of the deployment while no other one calls.
func TestASingleLargeBodyIsServed(t *testing.T) {
	g := NewWithT(t)
	f := newCrowdFleet(t, buildServer(t))
	body := make([]byte, crowdBody)
	g.Expect(f.sendBody(f.hosts[0], "/lookup/x", bytes.NewReader(body))).To(Equal(http.StatusOK), "with a length")
	g.Expect(f.sendBody(f.hosts[0], "/lookup/x", struct{ io.Reader }{bytes.NewReader(body)})).To(Equal(http.StatusOK), "in chunks")
	g.Expect(f.sendBody(f.hosts[0], "/lookup/x", &slowBody{left: 40 << 10, piece: 1 << 10})).To(Equal(http.StatusOK), "over half of the time limit")
}

// devMemory is the memory of a process with all roles, in bytes.
const devMemory = 192 << 20

// Guards against bodies that are read outside of any sum at the own interface, by the agent or by the
// operators' listener.
func TestCrowdsDoNotStopAProcessWithAllRoles(t *testing.T) {
	binary := buildServer(t)
	const body = 8 << 20 // the default of --entry-max-body
	completion := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
	for name, c := range map[string]struct {
		operators bool
		members   int
		send      func(key, token string) func(io.Writer) error
	}{
		"bodies that stop short of their end": {false, 60, func(key, _ string) func(io.Writer) error {
			return bodies(completion+"Authorization: Bearer "+key+"\r\n"+withLength(body)+"\r\n\r\n", body-200, 64<<10)
		}},
		"connections without a byte": {false, crowdSilent, func(string, string) func(io.Writer) error { return bodies("", 0, 1) }},
		"questionnaires that stop short of their end": {true, 60, func(_, token string) func(io.Writer) error {
			return bodies("POST /operator/v1/questionnaire HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nCowslip-Actor: x\r\nAuthorization: Bearer "+token+"\r\n"+withLength(body)+"\r\n\r\n\"", body-200, 64<<10) // a JSON string without its end
		}},
		"operators' connections without a byte": {true, crowdSilent, func(string, string) func(io.Writer) error { return bodies("", 0, 1) }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			d := startDev(t, binary)
			most := watchUsage(d.pid, d.ip)
			address := d.entry
			if c.operators {
				address = d.operators
			}
			crowd := &crowd{address: address, members: c.members, send: c.send(d.key, d.token)}
			stop := crowd.start()
			defer stop()
			crowd.arrived.Wait()
			g.Eventually(d.complete, recoveryTimeout).Should(Equal(http.StatusOK), "an ordinary request beside the crowd")
			used := most()
			t.Logf("%d MiB, %d of them unread, %d descriptors, %d connections were answered", used.memory>>20, used.unread>>20, used.files, crowd.responses.Load())
			g.Expect(used.memory).To(And(BeNumerically(">", 0), BeNumerically("<=", devMemory)), "resident and unread bytes")
			g.Expect(used.files).To(And(BeNumerically(">", 0), BeNumerically("<=", crowdFiles)), "open descriptors")
		})
	}
}

// dev is a process of `cowslipd dev`.
type dev struct {
	pid                              int
	ip, entry, operators, key, token string
}

var (
	printedKey   = regexp.MustCompile(`Bearer ([^']+)'`)
	printedToken = regexp.MustCompile(`--token-file=(\S+) `)
)

func startDev(t *testing.T, binary string) *dev {
	g := NewWithT(t)
	d := &dev{ip: fmt.Sprintf("127.59.%d.%d", os.Getpid()/250%250, os.Getpid()%250+1)}
	d.entry, d.operators = net.JoinHostPort(d.ip, "7480"), net.JoinHostPort(d.ip, "7481")
	out, err := os.Create(filepath.Join(t.TempDir(), "out"))
	g.Expect(err).NotTo(HaveOccurred())
	cmd := exec.Command(binary, "dev", "--entry-address="+d.entry, "--operator-address="+d.operators)
	cmd.Env = append(os.Environ(), fmt.Sprintf("COWSLIP_MEMORY_MB=%d", devMemory>>20), fmt.Sprintf("COWSLIP_MAX_FILES=%d", crowdFiles))
	cmd.Stdout, cmd.Stderr = out, out
	g.Expect(cmd.Start()).To(Succeed())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Signal(syscall.SIGTERM)
		<-ended
		g.Expect(out.Close()).To(Succeed())
	})
	text := ""
	g.Eventually(func() string {
		b, _ := os.ReadFile(out.Name())
		text = string(b)
		return text
	}, recoveryTimeout).Should(ContainSubstring("Ctrl-C"))
	token, err := os.ReadFile(printedToken.FindStringSubmatch(text)[1])
	g.Expect(err).NotTo(HaveOccurred())
	d.pid, d.key, d.token = cmd.Process.Pid, printedKey.FindStringSubmatch(text)[1], string(token)
	g.Eventually(d.complete, recoveryTimeout).Should(Equal(http.StatusOK))
	return d
}

// complete sends an ordinary request and returns the status of its response.
func (d *dev) complete() int {
	ctx, cancel := context.WithTimeout(context.Background(), recoveryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.entry+"/v1/completions", strings.NewReader(`{"model": "notes", "prompt": "gate", "max_tokens": 2}`))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	req.Header.Set("Content-Type", "application/json")
	return do(req)
}
