package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/reachability"
	"cowsliptiller/platform"
	"cowsliptiller/server/upstream"
)

const (
	// reservationTime is how long a place is reserved. The stream is sent as soon as it has left its target; a host
	// that is short of processor may need some tenths of a second for that.
	reservationTime = time.Second
	// maxReservationBytes bounds the answer to a reservation.
	maxReservationBytes = 4 << 10
)

// Outcomes of reservations, as labels.
const (
	reservationGranted = "granted"
	reservationRefused = "refused"
	reservationIgnored = "ignored" // by the target
	reservationFailed  = "failed"
)

// reserve reserves a place for a call at a target. The returned destination has no reservation if targets of the
// service reserve none. Errors: fault.Overloaded if the target has no room, and others if it does not answer.
func (g *Gateway) reserve(ctx context.Context, c *call, p destination) (destination, error) {
	if c.service.LongestReservation() == 0 {
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reachability.ProbeTimeout)
	defer cancel()
	id, err := g.askForPlace(ctx, c, p)
	g.config.Metrics.placeReserved(p.Service, reservationOutcome(id, err))
	p.reservation = id
	return p, err
}

func reservationOutcome(id string, err error) string {
	switch {
	case fault.Is(err, fault.Overloaded):
		return reservationRefused
	case err != nil:
		return reservationFailed
	case id == "":
		return reservationIgnored
	}
	return reservationGranted
}

func (g *Gateway) askForPlace(ctx context.Context, c *call, p destination) (id string, err error) {
	body, err := platform.Reservation{Tokens: c.PromptTokens + c.MaxOutputTokens, For: min(reservationTime, c.service.LongestReservation())}.Encode()
	if err != nil {
		return "", err
	}
	answer, err := g.pool.Do(ctx, &upstream.Request{
		Address: p.Address, Method: http.MethodPost, RequestURI: platform.ReservationPath, Host: p.Address, Body: body,
		Header: http.Header{platform.HeaderExpectInstance: {p.Instance}, "Content-Type": {"application/json"}},
	})
	if err != nil {
		return "", fault.New(fault.Unavailable, "no answer to a reservation at target %s: %v", p.Instance, err)
	}
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxReservationBytes))
	answer.Close()
	if err != nil {
		return "", fault.New(fault.Unavailable, "no answer to a reservation at target %s: %v", p.Instance, err)
	}
	g.targets.recordHeard(p.Instance)
	return platform.ReadReservation(answer.Status, text)
}

// releasePlace ends a reservation that is not used, if there is one. It does not wait; without an answer the
// reservation expires.
func (g *Gateway) releasePlace(p destination) {
	if p.reservation != "" {
		go g.sendRelease(p)
	}
}

func (g *Gateway) sendRelease(p destination) {
	ctx, cancel := context.WithTimeout(context.Background(), reachability.ProbeTimeout)
	defer cancel()
	answer, err := g.pool.Do(ctx, &upstream.Request{
		Address: p.Address, Method: http.MethodDelete, RequestURI: platform.ReleasePath(p.reservation), Host: p.Address,
		Header: http.Header{platform.HeaderExpectInstance: {p.Instance}},
	})
	if err != nil {
		g.config.Log.Debug("a reservation was not released", "target", p.Instance, "error", err)
		return
	}
	answer.Discard()
}
