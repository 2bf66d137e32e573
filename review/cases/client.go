package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// serveList serves the infrastructure's list, on one page. A foreign entry comes first, as it is.
func (f *fleet) serveList(replicas ...*replica) {
	go func() {
		_ = http.Serve(f.list, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			entries := []string{}
			if foreign, ok := f.foreign.Load().(string); ok {
				entries = append(entries, foreign)
			}
			for _, p := range replicas {
				if e := p.entry(); e != nil {
					text, _ := json.Marshal(e) // strings and numbers always encode
					entries = append(entries, string(text))
				}
			}
			w.Header().Set("Content-Type", "application/json")
			fmt.Fprintf(w, `{"Instances":[%s],"Next":null}`, strings.Join(entries, ","))
			for _, p := range replicas {
				p.noteShown()
			}
		}))
	}()
}

// put sends a config, to one entry host after the other, until it is acknowledged.
func (f *fleet) put(config object, most time.Duration) error {
	body, err := json.Marshal(config)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(most)
	for i := 0; time.Now().Before(end); i++ {
		h := f.entries()[i%len(f.entries())]
		req, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s:%d/config", h.ip, portControl), bytes.NewReader(body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := client.Do(req)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		f.record.add("config %v sent to %s: %d", config["Version"], h.name, resp.StatusCode)
		if resp.StatusCode == http.StatusOK {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("config %v was not acknowledged", config["Version"])
}

var nextID atomic.Uint64

// answer is what a client got.
type answer struct {
	status int    // 0: no answer
	body   string // as far as it came
	whole  bool
	err    error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %v, error %v", a.status, len(a.body), a.whole, a.err)
}

// call is one request of a client.
type call struct {
	path, model, key string
	deadline         time.Duration
	tokens           string
	body             io.Reader // nil: a short one
	length           int64     // of body
}

func (c call) reader() io.Reader {
	if c.body != nil {
		return c.body
	}
	return bytes.NewReader([]byte("prompt"))
}

// send sends a request to an entry host on a new channel, and reads the answer.
func (f *fleet) send(h *host, c call) (id string, a answer) {
	id = fmt.Sprintf("%016x", nextID.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", h.ip, portFront, c.path), c.reader())
	if err != nil {
		return id, answer{err: err}
	}
	if c.body != nil {
		req.ContentLength = c.length
	}
	req.Host = "host.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(c.deadline.Milliseconds()))
	if c.model != "" {
		req.Header.Set("Model", c.model)
		req.Header.Set("Prompt-Prefix", "5c1e07a2:80,"+id[:8]+":20")
	}
	if c.tokens != "" {
		req.Header.Set("Token-Count", c.tokens)
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	f.record.add("request %s (%s %s) sent to %s", id, c.path, c.model, h.name)
	resp, err := (&http.Transport{DisableKeepAlives: true, DisableCompression: true}).RoundTrip(req)
	if err != nil {
		a = answer{err: err}
	} else {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a = answer{status: resp.StatusCode, body: string(body), whole: err == nil, err: err}
	}
	f.record.add("request %s answered: %v", id, a)
	return id, a
}

// awaitReady waits until all entry hosts say that they are ready.
func (f *fleet) awaitReady(most time.Duration) error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	end := time.Now().Add(most)
	for _, h := range f.entries() {
		for {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", h.ip, portReady))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
