package load

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// Result says how a request ended.
type Result string

// The results. Every request ends in exactly one.
const (
	Answered Result = "answered" // the whole of its own answer
	Refused  Result = "refused"  // a final answer that says why not
	Broken   Result = "broken"   // an answer that began and told that it broke
	Wrong    Result = "wrong"    // an answer that is not whole or not its own, and looks it
	Lost     Result = "lost"     // no final answer in time
)

// Outcome is what a caller got for one request.
type Outcome struct {
	Request Request
	Result  Result
	Kind    string // error kind of a refusal
	Ran     string // what the refusal said of the run
	Status  int
	Sent    time.Time
	Took    time.Duration
	First   time.Duration // to the first byte of the body
	Tokens  int64
	Error   string
}

// refusalBody is the error body of the callers' API.
type refusalBody struct {
	Kind string `json:"kind"`
	Ran  string `json:"ran"`
}

// send sends one request and reads its answer to the end.
func send(ctx context.Context, client *http.Client, p Plan, r Request) Outcome {
	o := Outcome{Request: r, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	resp, err := client.Do(p.httpRequest(ctx, r))
	if err != nil {
		o.Result, o.Error, o.Took = Lost, err.Error(), time.Since(o.Sent)
		return o
	}
	defer resp.Body.Close()
	o.Status = resp.StatusCode
	body, first, err := readAll(resp.Body, o.Sent)
	o.Took, o.First = time.Since(o.Sent), first
	o.judge(resp, body, err)
	return o
}

func (p Plan) httpRequest(ctx context.Context, r Request) *http.Request {
	// The plan's own URLs always parse; see Check.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.Entry+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // the load tool sends each request once
	req.Header.Set("Content-Type", "application/json")
	if p.Direct {
		return req
	}
	req.Header.Set("Authorization", "Bearer "+p.Keys[r.Workspace])
	if r.Class != "" {
		req.Header.Set("Cowslip-Class", r.Class)
	}
	if r.Key != "" {
		req.Header.Set("Idempotency-Key", r.Key)
	}
	return req
}

func readAll(body io.Reader, sent time.Time) ([]byte, time.Duration, error) {
	head := make([]byte, 4096)
	n, err := body.Read(head)
	first := time.Since(sent)
	if err != nil && err != io.EOF {
		return head[:n], first, err
	}
	rest, err := io.ReadAll(body)
	return append(head[:n], rest...), first, err
}

// judge decides the result from the whole answer.
func (o *Outcome) judge(resp *http.Response, body []byte, err error) {
	if refusal, ok := refusalOf(resp, body); ok {
		o.Result, o.Kind, o.Ran = Refused, refusal.Kind, refusal.Ran
		return
	}
	if event, ok := errorEvent(body); ok {
		o.Result = Broken
		o.Kind, o.Ran = eventRefusal(event)
		return
	}
	sum := sha256.Sum256(o.Request.Body)
	own := bytes.Contains(body, []byte(hex.EncodeToString(sum[:])))
	whole := err == nil && (o.Request.Shape != ShapeStream || bytes.HasSuffix(body, []byte("data: [DONE]\n\n")))
	switch {
	case own && whole && resp.StatusCode == http.StatusOK:
		o.Result = Answered
		o.Tokens = tokensOf(body)
	case err != nil:
		o.Result, o.Kind, o.Ran, o.Error = Broken, "connection_broken", "unknown", err.Error()
	default:
		o.Result, o.Error = Wrong, firstLine(body)
	}
}

func refusalOf(resp *http.Response, body []byte) (refusalBody, bool) {
	var r refusalBody
	if resp.StatusCode < http.StatusBadRequest || resp.Header.Get("Goa-Error") == "" {
		return r, false
	}
	return r, json.Unmarshal(body, &r) == nil && r.Kind != ""
}

// errorEvent returns the error event in a stream. One that follows a partial event is none: a
// caller would read it as a part of that event.
func errorEvent(body []byte) ([]byte, bool) {
	const start = "event: error\n"
	if bytes.HasPrefix(body, []byte(start)) {
		return body, true
	}
	_, event, ok := bytes.Cut(body, []byte("\n\n"+start))
	return append([]byte(start), event...), ok
}

func eventRefusal(event []byte) (kind, ran string) {
	var r refusalBody
	_, data, _ := bytes.Cut(event, []byte("data: "))
	line, _, _ := bytes.Cut(data, []byte("\n"))
	_ = json.Unmarshal(line, &r)
	return r.Kind, r.Ran
}

func tokensOf(body []byte) int64 {
	const field = `"completion_tokens":`
	i := bytes.LastIndex(body, []byte(field))
	if i < 0 {
		return 0
	}
	var n int64
	for _, c := range body[i+len(field):] {
		if c < '0' || c > '9' {
			break
		}
		n = n*10 + int64(c-'0')
	}
	return n
}

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body[:min(len(body), 200)]), "\n")
	return line
}
