package engine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// defaultTokens is generated when a request names no maximum.
const defaultTokens = 16

type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (t *Target) completions(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	body, _, err := t.accept(r, func(body []byte) (string, bool) {
		_ = json.Unmarshal(body, &req)
		return req.Model, t.mem.holds(req.Model)
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
	if pause(r.Context(), t.paced(t.cfg.PromptTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	words := answer(req, body)
	if req.Stream {
		t.stream(w, r, req, words)
		return
	}
	t.whole(w, r, req, words)
}

// paced stretches a step by the load beyond the concurrency and by the faults.
func (t *Target) paced(d time.Duration) time.Duration {
	faults, _, _ := t.state()
	over := float64(t.running.Load()) / float64(t.cfg.Concurrency)
	return stretch(stretch(d, over), faults.SlowFactor)
}

// answer makes as many words as were asked for; the last one is the digest of
// the request, so that a caller can tell its own answer from another's.
func answer(req completionRequest, body []byte) []string {
	n := req.MaxTokens
	if n <= 0 {
		n = defaultTokens
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
		t.generate(r, i, len(words))
		chunk, _ := json.Marshal(map[string]any{"model": req.Model, "choices": []any{map[string]any{"index": 0, "text": word, "delta": map[string]any{"content": word}}}})
		if _, err := fmt.Fprintf(w, "data: %s\n\n", chunk); err != nil {
			return
		}
		_ = flush.Flush()
	}
	usage, _ := json.Marshal(map[string]any{"model": req.Model, "choices": []any{}, "usage": usageOf(req, words)})
	_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", usage)
}

func (t *Target) whole(w http.ResponseWriter, r *http.Request, req completionRequest, words []string) {
	for i := range words {
		t.generate(r, i, len(words))
	}
	text := strings.Join(words, "")
	writeJSON(w, http.StatusOK, map[string]any{
		"model":   req.Model,
		"choices": []any{map[string]any{"index": 0, "text": text, "message": map[string]any{"role": "assistant", "content": text}}},
		"usage":   usageOf(req, words),
	})
}

// generate takes the time of one token and plays the fault of half an answer.
func (t *Target) generate(r *http.Request, i, of int) {
	if pause(r.Context(), t.paced(t.cfg.TokenTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	faults, _, _ := t.state()
	if faults.HalfAnswer && i == of/2 {
		panic(http.ErrAbortHandler)
	}
}

func usageOf(req completionRequest, words []string) map[string]any {
	prompt := (len(req.Prompt) + len(req.Messages) + bytesPerToken - 1) / bytesPerToken
	return map[string]any{"prompt_tokens": prompt, "completion_tokens": len(words), "total_tokens": prompt + len(words)}
}

// bytesPerToken is the customary rough size of a token of English text.
const bytesPerToken = 4

// call plays a plain service: it runs the call once for each request that
// arrives, and tells how often the named call has run.
func (t *Target) call(w http.ResponseWriter, r *http.Request) {
	t.running.Add(1)
	defer t.running.Add(-1)
	path := strings.TrimPrefix(r.URL.Path, "/")
	body, runs, err := t.accept(r, func([]byte) (string, bool) { return path, true })
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if pause(r.Context(), t.paced(t.cfg.PromptTime)) != nil {
		panic(http.ErrAbortHandler)
	}
	answer, _ := json.Marshal(map[string]any{"path": path, "digest": digest(body), "executions": runs})
	faults, _, _ := t.state()
	w.Header().Set("Content-Type", "application/json")
	if faults.HalfAnswer {
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = w.Write(answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer)
}
