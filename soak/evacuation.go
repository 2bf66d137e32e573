package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// evacuationLimit is the time after which an evacuated failure domain's targets must get
// nothing.
const evacuationLimit = 5 * time.Second

// recoveryTimeout is the limit for the recovery of the fleet after the faults.
const recoveryTimeout = 40 * time.Second

// domainCount is the number of failure domains over which targets are spread.
const domainCount = 2

func domainName(i int) string { return fmt.Sprint("d-", i%domainCount) }

// evacuation is a period in which a domain's targets must run nothing.
type evacuation struct {
	domain   string
	from, to time.Time // from the limit after the acknowledgement until the end was requested
}

// evacuateDomains takes failure domains out of service and puts them back, until the context
// ends; the last one is put back after that. It runs concurrently with the other faults.
func evacuateDomains(ctx context.Context, f *fleet, o *operator, r *rand.Rand) {
	for sleep(ctx, time.Duration(200+r.IntN(1500))*time.Millisecond); ctx.Err() == nil; {
		domain := domainName(r.IntN(domainCount))
		if !o.setEvacuation(ctx, r, domain, http.MethodPost) {
			continue
		}
		e := evacuation{domain: domain, from: time.Now().Add(evacuationLimit)}
		sleepBetween(ctx, r, time.Second, 10*time.Second)
		e.to = time.Now()
		f.history.recordEvacuation(e)
		end, cancel := context.WithTimeout(context.WithoutCancel(ctx), recoveryTimeout)
		if !o.setEvacuation(end, r, domain, http.MethodDelete) {
			f.history.addFailure("the end of the evacuation of %s was not acknowledged within %v", domain, recoveryTimeout)
		}
		cancel()
	}
}

// setEvacuation requests an evacuation (POST) or its end (DELETE); see send.
func (o *operator) setEvacuation(ctx context.Context, r *rand.Rand, domain, method string) bool {
	return o.send(ctx, r, method, "/evacuations/"+domain, nil)
}

func (h *history) recordEvacuation(e evacuation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, e)
}

// checkEvacuations checks that no request ran in an evacuated domain.
func (f *fleet) checkEvacuations() {
	domains := map[string]string{}
	for _, t := range f.targets {
		domains[t.address] = t.domain
	}
	h := f.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, runs := range h.runs {
		for _, r := range runs {
			for _, e := range h.evacuations {
				if domains[r.Target] == e.domain && r.At.After(e.from) && r.At.Before(e.to) {
					h.failures = append(h.failures, fmt.Sprintf("%s ran at %s in %s, %v after its evacuation was acknowledged", id, r.Target, e.domain, r.At.Sub(e.from)+evacuationLimit))
				}
			}
		}
	}
}
