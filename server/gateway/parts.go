package gateway

import (
	"strings"

	"cowsliptiller/platform"
)

// Bounds of what is logged of a request's parts.
const (
	loggedParts     = 4
	loggedPartBytes = 8
)

// sharedParts returns the parts of the call's prompt that other requests may share: all but the last.
func (c *call) sharedParts() []platform.PromptPart {
	return c.Prefix[:max(0, len(c.Prefix)-1)]
}

// logParts returns what is logged of parts.
func logParts(parts []platform.PromptPart) string {
	var ids []string
	for _, p := range parts[:min(len(parts), loggedParts)] {
		ids = append(ids, logPart(p.ID))
	}
	return strings.Join(ids, ",")
}

// logPart returns what is logged of a part's id.
func logPart(id string) string { return id[:min(len(id), loggedPartBytes)] }

// attemptEvents is the number of events that the present attempt has brought.
func (t *retryState) attemptEvents() uint64 { return t.relay.events - t.eventsBefore }
