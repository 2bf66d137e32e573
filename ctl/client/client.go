package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"cowsliptiller/coord/fault"
	httpclient "cowsliptiller/server/gen/http/operators/client"
	"cowsliptiller/server/gen/operators"
)

// Bounds on one attempt at one control host. The timeout is above the longest
// answer that the API waits for: a withdrawal, at the longest freshness lease.
const (
	dialTimeout    = 2 * time.Second
	attemptTimeout = 90 * time.Second
	rounds         = 3
	roundPause     = 300 * time.Millisecond
)

// Client calls the operators' API.
type Client struct {
	hosts []*operators.Client
}

// New returns a client for the control hosts at addresses (IP:port), with the
// operators' token and the name that the audit trail shows.
func New(addresses []string, token, actor string) *Client {
	doer := authorized{
		next:  &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}, Timeout: attemptTimeout},
		token: token,
		actor: actor,
	}
	c := &Client{}
	for _, a := range addresses {
		h := httpclient.NewClient("http", a, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
		c.hosts = append(c.hosts, operators.NewClient(h.Submit(), h.Configuration(), h.GiveKey(), h.WithdrawKey(), h.Keys(),
			h.Hosts(), h.DrainHost(), h.ForgetHost(), h.Evacuate(), h.Restore(), h.Evacuations(), h.Replicas(), h.Status(), h.Audit(), h.AddMember(), h.RemoveMember(), h.Where(), h.Backup()))
	}
	return c
}

// ReadToken reads the operators' token from a file.
func ReadToken(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fault.New(fault.InvalidRequest, "--token-file: %v", err)
	}
	return strings.TrimSpace(string(text)), nil
}

// Call runs one call against the control hosts in turn until one answers for
// good. Every call of the API may be sent again: those that change something
// carry an id, or set a state.
func Call[T any](ctx context.Context, c *Client, do func(context.Context, *operators.Client) (T, error)) (T, error) {
	var zero T
	err := fault.New(fault.InvalidRequest, "--control: no control host is named")
	for round := range rounds {
		for _, h := range c.hosts {
			var answer T
			answer, err = do(ctx, h)
			if err == nil {
				return answer, nil
			}
			err = asFault(err)
			if !worthAnotherHost(err) {
				return zero, err
			}
		}
		if round+1 < rounds && !wait(ctx, roundPause) {
			break
		}
	}
	return zero, err
}

// CallOnce runs one call against the control hosts in turn until one answers, with whatever: a refusal
// is final. It is for calls whose answer must not be late.
func CallOnce[T any](ctx context.Context, c *Client, do func(context.Context, *operators.Client) (T, error)) (T, error) {
	var zero T
	err := fault.New(fault.InvalidRequest, "--control: no control host is named")
	for _, h := range c.hosts {
		answer, failed := do(ctx, h)
		if failed == nil {
			return answer, nil
		}
		err = asFault(failed)
		var refusal *operators.Refusal
		if errors.As(failed, &refusal) {
			break
		}
	}
	return zero, err
}

func asFault(err error) error {
	var refusal *operators.Refusal
	if !errors.As(err, &refusal) {
		return fault.New(fault.Unavailable, "control host: %v", err)
	}
	e := fault.New(fault.Kind(refusal.Kind), "%s", refusal.Message)
	return fault.WithRan(e, fault.Ran(refusal.Ran), refusal.Repeatable)
}

func worthAnotherHost(err error) bool {
	switch fault.From(err).Kind {
	case fault.Unavailable, fault.NotLeader, fault.NoQuorum, fault.Stale:
		return true
	}
	return false
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// authorized adds the operators' token and the actor to each request.
type authorized struct {
	next  *http.Client
	token string
	actor string
}

// Do implements goahttp.Doer.
func (a authorized) Do(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer "+a.token)
	r.Header.Set("Cowslip-Actor", a.actor)
	return a.next.Do(r)
}
