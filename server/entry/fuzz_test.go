package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/server/intake"
	"cowsliptiller/server/settings"
	"cowsliptiller/server/view"
)

// fixed is a view that never changes and is always fresh.
type fixed struct{ snapshot *view.Snapshot }

func (f fixed) Current() *view.Snapshot  { return f.snapshot }
func (f fixed) Fresh(time.Time) bool     { return true }
func (f fixed) Changed() <-chan struct{} { return nil }

// FuzzCaller feeds bodies and headers to the reading of a call: it gives a call
// whose charge is above zero and whose deadline is not past its class's, or a
// refusal of the input, and never panics.
func FuzzCaller(f *testing.F) {
	text, err := os.ReadFile("../../examples/vaalkop.yaml")
	if err != nil {
		f.Fatal(err)
	}
	q, err := config.Parse(text)
	if err != nil {
		f.Fatal(err)
	}
	digest := view.Digest(sha256.Sum256([]byte("key")))
	snapshot := &view.Snapshot{
		Configuration: config.Generate(q, 1),
		Keys:          map[view.Digest]*coordpb.Key{digest: {KeyId: "k", Workspace: "labs", Digest: digest[:]}},
	}
	now := time.Unix(1_800_000_000, 0)
	e := New(Config{
		Source: fixed{snapshot}, Now: func() time.Time { return now },
		Log: hclog.NewNullLogger(), Registry: prometheus.NewRegistry(),
		Settings: settings.Entry{MaxBodyBytes: 8 << 20}, Bodies: intake.NewReader(284<<20, time.Now),
	})
	f.Add([]byte(`{"model":"vaalkop-m005","max_tokens":9223372036854775807}`), "Bearer key", "", int64(1), "")
	f.Add([]byte(`{"model":"vaalkop-a005","max_tokens":-5}`), "Bearer key", "manifest-summary", int64(-1), "x")
	f.Add([]byte(`[`), "Basic key", "none", int64(1<<62), "y")
	f.Fuzz(func(t *testing.T, body []byte, authorization, class string, deadline int64, key string) {
		ctx := context.WithValue(context.Background(), recordKey{}, &record{
			id: "r", begun: now, writer: httptest.NewRecorder(), request: httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(body)),
		})
		h := &head{authorization: &authorization, deadlineMs: &deadline, idempotencyKey: &key}
		if class != "" {
			h.class = &class
		}
		c, err := e.modelCall(ctx, h, "/v1/completions")
		if err != nil {
			switch k := fault.From(err).Kind; k {
			case fault.InvalidRequest, fault.Unauthenticated, fault.NotFound, fault.TooLarge:
			default:
				t.Fatalf("unexpected kind %s: %v", k, err)
			}
			return
		}
		if c.tokens <= 0 {
			t.Fatalf("a charge of %d tokens", c.tokens)
		}
		if c.deadline.After(now.Add(c.class.Deadline)) {
			t.Fatalf("deadline %v is past the class's", c.deadline)
		}
	})
}
