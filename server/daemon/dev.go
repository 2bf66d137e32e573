package daemon

import (
	"context"
	"crypto/rand"
	"embed"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"
	goahttp "goa.design/goa/v3/http"

	"cowsliptiller/coord/fault"
	httpclient "cowsliptiller/server/gen/http/operators/client"
	"cowsliptiller/server/gen/operators"
	"cowsliptiller/server/settings"
	"cowsliptiller/standin/engine"
)

//go:embed sample.yaml
var sample embed.FS

// devOptions are the settings of `cowslipd dev`.
type devOptions struct {
	Entry    string `long:"entry-address" default:"127.0.0.1:7480" description:"IP:port for callers"`
	Operator string `long:"operator-address" default:"127.0.0.1:7481" description:"IP:port for operators"`
	LogLevel string `long:"log-level" default:"warn" description:"Least level that is logged"`
	Once     bool   `long:"once" description:"Send one request, print its answer and exit"`
}

// Bounds of the start of a dev process.
const (
	devStart = 30 * time.Second
	devPause = 50 * time.Millisecond
)

// Dev runs all roles and a stand-in target in this process on loopback, with a
// temporary data folder and a sample configuration, and prints how to try it.
func Dev(args []string, out io.Writer, stop, abort <-chan struct{}) error {
	var d devOptions
	if _, err := flags.NewParser(&d, flags.HelpFlag).ParseArgs(args); err != nil {
		var flagsError *flags.Error
		if errors.As(err, &flagsError) && flagsError.Type == flags.ErrHelp {
			fmt.Fprintln(out, flagsError.Message)
			return nil
		}
		return fault.New(fault.InvalidRequest, "%v", err)
	}
	folder, err := os.MkdirTemp("", "cowslipd-dev-")
	if err != nil {
		return fault.New(fault.InvalidRequest, "temporary data folder: %v", err)
	}
	defer os.RemoveAll(folder)
	standin, err := serveStandin()
	if err != nil {
		return err
	}
	defer standin.Close()
	o, token, err := d.options(folder, standin.Addr().String())
	if err != nil {
		return err
	}
	return d.run(o, token, out, stop, abort)
}

// run starts the process, sets it up as an operator would, and waits.
func (d devOptions) run(o *settings.Options, token string, out io.Writer, stop, abort <-chan struct{}) error {
	ended := make(chan struct{})
	ready := make(chan error, 1)
	go func() { ready <- d.setUp(o, token, out, ended) }()
	done := make(chan error, 1)
	enough := make(chan struct{})
	go func() { done <- Run(o, either(stop, enough), abort) }()
	for {
		select {
		case err := <-done:
			close(ended)
			return err
		case err := <-ready:
			ready = nil
			if err == nil && !d.Once {
				continue
			}
			close(enough)
			return errors.Join(err, <-done)
		}
	}
}

// either returns a channel that is closed when one of two is.
func either(a, b <-chan struct{}) <-chan struct{} {
	c := make(chan struct{})
	go func() {
		defer close(c)
		select {
		case <-a:
		case <-b:
		}
	}()
	return c
}

func serveStandin() (net.Listener, error) {
	target := engine.New(engine.Config{Name: "sample-engine", MemoryBytes: 40 << 30, ChecksFencing: true, TokenTime: 5 * time.Millisecond, PromptTime: 20 * time.Millisecond})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "stand-in target: %v", err)
	}
	go func() { _ = http.Serve(l, target.Handler()) }()
	return l, nil
}

// options returns the settings of one process with all roles, and the operators' token.
func (d devOptions) options(folder, target string) (*settings.Options, string, error) {
	internal, err := freeAddress()
	if err != nil {
		return nil, "", err
	}
	secret, token := randomText(), randomText()
	secretFile, tokenFile := filepath.Join(folder, "secret"), filepath.Join(folder, "token")
	if err := errors.Join(os.WriteFile(secretFile, []byte(secret), 0o600), os.WriteFile(tokenFile, []byte(token), 0o600)); err != nil {
		return nil, "", fault.New(fault.InvalidRequest, "temporary data folder: %v", err)
	}
	o, err := settings.Parse([]string{
		"--roles=entry", "--roles=agent", "--roles=control", "--host=local", "--failure-domain=local",
		"--internal-address=" + internal, "--secret-file=" + secretFile, "--log-level=" + d.LogLevel,
		"--entry-address=" + d.Entry, "--agent-target=sample-engine", "--agent-target-url=http://" + target,
		"--control-data=" + filepath.Join(folder, "control"), "--control-member-id=1",
		"--operator-address=" + d.Operator, "--operator-token-file=" + tokenFile,
	}, io.Discard)
	return o, token, err
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fault.New(fault.InvalidRequest, "loopback: %v", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func randomText() string {
	var b [24]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// setUp submits the sample, gives a key and prints a first request.
func (d devOptions) setUp(o *settings.Options, token string, out io.Writer, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(context.Background(), devStart)
	defer cancel()
	go func() {
		select {
		case <-ended:
			cancel()
		case <-ctx.Done():
		}
	}()
	text, _ := sample.ReadFile("sample.yaml")
	api := operatorsClient(o.Control.OperatorAddress, token)
	_, err := untilDone(ctx, func() (*operators.SubmissionOutcome, error) {
		return api.Submit(ctx, &operators.SubmitPayload{Questionnaire: string(text), SubmissionID: "sample"})
	})
	if err != nil {
		return err
	}
	key, err := untilDone(ctx, func() (*operators.KeyInfo, error) {
		return api.GiveKey(ctx, &operators.GiveKeyPayload{Workspace: "sample", CommandID: "sample-key"})
	})
	if err != nil {
		return err
	}
	if key.Secret == nil {
		return fault.New(fault.Internal, "control gave a key without its secret")
	}
	if d.Once {
		return d.firstRequest(ctx, o, *key.Secret, out)
	}
	d.explain(o, *key.Secret, out)
	return nil
}

func operatorsClient(address, token string) *operators.Client {
	doer := bearer{token}
	h := httpclient.NewClient("http", address, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &operators.Client{SubmitEndpoint: h.Submit(), GiveKeyEndpoint: h.GiveKey()}
}

type bearer struct{ token string }

// Do implements goahttp.Doer.
func (b bearer) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+b.token)
	r.Header.Set("Cowslip-Actor", "dev")
	return http.DefaultClient.Do(r)
}

// untilDone repeats a call until the process has started and elected its leader.
func untilDone[T any](ctx context.Context, do func() (T, error)) (T, error) {
	for {
		answer, err := do()
		if err == nil {
			return answer, nil
		}
		timer := time.NewTimer(devPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return answer, fault.New(fault.Unavailable, "dev did not start in %s: %v", devStart, err)
		}
	}
}

func (d devOptions) explain(o *settings.Options, key string, out io.Writer) {
	fmt.Fprintf(out, `cowslipd runs all roles and a stand-in target. Try:

  curl -N http://%[1]s/v1/completions -H 'Authorization: Bearer %[2]s' \
    -H 'Content-Type: application/json' \
    -d '{"model": "notes", "prompt": "gate 4 at the depot", "max_tokens": 24, "stream": true}'

The first request waits for the model to be loaded. As an operator:

  go run ./ctl/cmd/cowslipctl --control=%[3]s --token-file=%[4]s status

Ctrl-C stops it; everything was temporary.
`, o.Entry.Address, key, o.Control.OperatorAddress, o.Control.OperatorTokenFile)
}
