package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strings"
)

// softwareVersions are the versions of the targets, which serve side by side.
var softwareVersions = []string{"v1", "v1.1"}

func versionName(target int) string { return softwareVersions[target%len(softwareVersions)] }

// resumeAttempts is how often a client resumes a stream that broke off.
const resumeAttempts = 3

// resumes counts the streams that clients resumed.
type resumes struct{ sent, continued, refused int }

// streamEvent matches a complete event of a stream.
var streamEvent = regexp.MustCompile(`id: \d+\ndata: \S+ \d+ of \d+ by ([^\s-]+)-*\n\n`)

// sendAndResume sends a request. If its stream breaks off, it is resumed at other entry hosts.
func (c *clients) sendAndResume(ctx context.Context, s *sentRequest, r *rand.Rand) {
	c.send(ctx, s)
	for range resumeAttempts {
		after := s.after + len(streamEvent.FindAllString(s.body, -1))
		if !s.resumable || s.complete && s.status == http.StatusOK || after == 0 || after == streamEvents || ctx.Err() != nil {
			return
		}
		next := *s
		next.id, next.began, next.after = fmt.Sprintf("r%d", c.nextID.Add(1)), s.origin(), after
		next.entry, next.status, next.body, next.complete, next.stamped = r.IntN(entryCount), 0, "", false, false
		s = &next
		c.send(ctx, s)
	}
}

// origin is the request that brought the stream's first event.
func (s *sentRequest) origin() string {
	if s.began != "" {
		return s.began
	}
	return s.id
}

// restOfStream returns the body of a complete answer to the request, in the version of its first event.
func (s *sentRequest) restOfStream() string {
	version := ""
	if m := streamEvent.FindStringSubmatch(s.body); m != nil {
		version = m[1]
	}
	var b strings.Builder
	for i := s.after + 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s %d of %d by %s%s\n\n", i, s.id, i, streamEvents, version, strings.Repeat("-", s.padding))
	}
	return b.String()
}

// checkVersions checks that each stream has events of one software version, over all requests that
// brought a part of it, and counts the resumed ones.
func (h *history) checkVersions() {
	h.mu.Lock()
	defer h.mu.Unlock()
	began := map[string]string{} // version by stream
	for _, s := range h.sent {
		if s.began != "" {
			h.resumes.sent++
		}
		if s.began != "" && s.status == http.StatusServiceUnavailable {
			h.resumes.refused++
		}
		events := streamEvent.FindAllStringSubmatch(s.body, -1)
		if s.began != "" && len(events) > 0 {
			h.resumes.continued++
		}
		for _, event := range events {
			if v := began[s.origin()]; v != "" && v != event[1] {
				h.failures = append(h.failures, fmt.Sprintf("stream %s has events of versions %s and %s", s.origin(), v, event[1]))
				break
			}
			began[s.origin()] = event[1]
		}
	}
}
