package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// defaultMaxTokens is the number of tokens generated if a request sets no max_tokens.
const defaultMaxTokens = 16

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (t *Target) completions(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	body, _, err := t.receive(r, func(body []byte) (string, bool) {
		_ = json.Unmarshal(body, &req)
		return req.Model, t.mem.canServe(req.Model)
	})
	switch {
	case errors.Is(err, errNotLoaded):
		writeJSON(w, http.StatusNotFound, map[string]any{"error": err.Error()})
		return
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	t.running.Add(1)
	defer t.running.Add(-1)
	if sleep(r.Context(), t.underLoad(t.cfg.PromptTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	words := responseWords(req, body)
	t.announceLoad(w.Header())
	if req.Stream {
		t.stream(w, r, req, words)
		return
	}
	t.writeFull(w, r, req, words)
}

// underLoad scales a duration by the number of running requests per unit of concurrency,
// once it exceeds 1, by the slowdown fault and by the target's current speed.
func (t *Target) underLoad(d time.Duration) time.Duration {
	faults, _, _ := t.state()
	over := float64(t.running.Load()) / float64(t.cfg.Concurrency)
	return t.atSpeed(slowDown(slowDown(d, over), faults.SlowFactor))
}

// responseWords generates one word for each requested token. The last word is the digest
// of the request body, so that a client can detect the response to another request.
func responseWords(req completionRequest, body []byte) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = defaultMaxTokens
	}
	words := make([]string, n)
	for i := range words {
		words[i] = fmt.Sprintf("w%d ", i)
	}
	words[n-1] = "digest:" + digest(body)
	return words
}

func (t *Target) stream(w http.ResponseWriter, r *http.Request, req completionRequest, words []string) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	for i, word := range words {
		t.waitForToken(r, i, len(words))
		chunk, _ := json.Marshal(map[string]any{"model": req.Model, "choices": []any{map[string]any{"index": 0, "text": word, "delta": map[string]any{"content": word}}}})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", chunk); err != nil {
			return
		}
		_ = flush.Flush()
	}
	usage, _ := json.Marshal(map[string]any{"model": req.Model, "choices": []any{}, "usage": usageOf(req, words)})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", usage)
}

func (t *Target) writeFull(w http.ResponseWriter, r *http.Request, req completionRequest, words []string) {
	for i := range words {
		t.waitForToken(r, i, len(words))
	}
	text := strings.Join(words, "")
	writeJSON(w, http.StatusOK, map[string]any{
		"model":   req.Model,
		"choices": []any{map[string]any{"index": 0, "text": text, "message": map[string]any{"role": "assistant", "content": text}}},
		"usage":   usageOf(req, words),
	})
}

// waitForToken waits for the duration of token i of the given total. It aborts the response
// at the middle token if the HalfAnswer fault is set.
func (t *Target) waitForToken(r *http.Request, i, total int) {
	if sleep(r.Context(), t.underLoad(t.cfg.TokenTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	faults, _, _ := t.state()
	if faults.TruncateResponse && i == total/2 {
		panic(http.ErrAbortHandler)
	}
}

func usageOf(req completionRequest, words []string) map[string]any {
	prompt := (len(req.Prompt) + len(req.Messages) + bytesPerToken - 1) / bytesPerToken
	return map[string]any{"prompt_tokens": prompt, "completion_tokens": len(words), "total_tokens": prompt + len(words)}
}

// bytesPerToken is the usual estimate for English text.
const bytesPerToken = 4

// serveCall simulates a plain service: it executes the call once for each request that
// arrives and reports how often the named call has run.
func (t *Target) serveCall(w http.ResponseWriter, r *http.Request) {
	t.running.Add(1)
	defer t.running.Add(-1)
	path := strings.TrimPrefix(r.URL.Path, "/")
	body, runs, err := t.receive(r, func([]byte) (string, bool) { return path, true })
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if sleep(r.Context(), t.underLoad(t.cfg.PromptTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	answer, _ := json.Marshal(map[string]any{"path": path, "digest": digest(body), "executions": runs})
	faults, _, _ := t.state()
	t.announceLoad(w.Header())
	w.Header().Set("Content-Type", "application/json")
	if faults.TruncateResponse {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}
