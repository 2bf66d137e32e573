package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cowsliptiller/coord/fault"
	"cowsliptiller/server/settings"
)

// firstRequest sends one streamed request and copies its answer to out. It is
// repeated only while the entry role refuses it as not run.
func (d devOptions) firstRequest(ctx context.Context, o *settings.Options, key string, out io.Writer) error {
	answer, err := untilDone(ctx, func() (*http.Response, error) { return postFirst(ctx, o.Entry.Address, key) })
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxFirstAnswer+1))
	switch {
	case err != nil:
		return fault.New(fault.StreamBroken, "%v", err)
	case len(text) > maxFirstAnswer:
		return fault.New(fault.TooLarge, "the answer is longer than %d bytes", maxFirstAnswer)
	}
	_, err = out.Write(text)
	return err
}

// maxFirstAnswer bounds the answer to the first request, in bytes; it has a few events.
const maxFirstAnswer = 1 << 20

func postFirst(ctx context.Context, address, key string) (*http.Response, error) {
	body := strings.NewReader(`{"model": "notes", "prompt": "gate 4 at the depot", "max_tokens": 8, "stream": true}`)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxFirstAnswer))
	_ = resp.Body.Close()
	return nil, fmt.Errorf("status %d: %s", resp.StatusCode, text)
}
