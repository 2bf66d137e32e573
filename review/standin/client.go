package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a client got.
type answer struct {
	id       string
	status   int
	body     string
	complete bool // the answer has ended as its framing says
	err      error
	took     time.Duration
}

var requests atomic.Int64

// send sends one request to an entry host over a new channel and reads its answer.
func (f *fleet) send(entry int, method, path, model string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07b00000000+requests.Add(1))}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.address(entryOctet+entry, portFront)+path, strings.NewReader("body of "+a.id))
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+apiKey)
	if model != "" {
		req.Header.Set("Model", model)
		req.Header.Set("Token-Count", "620,300")
		req.Header.Set("Prompt-Prefix", "5c1e07a2:200,"+a.id[8:]+":420")
	}
	f.record.add("client sends %s %s %s model %q to edge-%d", a.id, method, path, model, entry+1)
	transport := &http.Transport{DisableKeepAlives: false}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		a.err = err
	} else {
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		a.status, a.body, a.err, a.complete = resp.StatusCode, string(text), err, err == nil
	}
	a.took = time.Since(began)
	f.record.add("client has for %s: status %d, %d bytes, ended as complete: %v, error %v, after %d ms, last line %q", a.id, a.status, len(a.body), a.complete, a.err, a.took.Milliseconds(), lastLine(a.body))
	return a
}

func lastLine(body string) string {
	lines := strings.Split(strings.TrimRight(body, "\n"), "\n")
	return lines[len(lines)-1]
}
