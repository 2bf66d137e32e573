package promptwork

// Load pattern: several long prompts of one host arrive between two reports of a target.
// Without it: the reports that the host has do not show them, and all go to the same target.
// Rule: count the host's own prompt tokens from the send until the first event.

// Ledger holds the prompt tokens that this host has sent to each target and that have no first event yet.
type Ledger struct{ tokens map[string]int64 }

// Entry is one prompt in a Ledger.
type Entry struct {
	target string
	tokens int64
	ended  bool
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{tokens: map[string]int64{}} }

// Begin adds a prompt that is sent to a target.
func (l *Ledger) Begin(target string, tokens int64) *Entry {
	e := &Entry{target: target, tokens: boundTokens(tokens)}
	l.tokens[target] += e.tokens
	return e
}

// End removes a prompt whose response has begun, or whose attempt has ended without. Further calls for the
// same entry, and calls for nil, do nothing.
func (l *Ledger) End(e *Entry) {
	if e == nil || e.ended {
		return
	}
	e.ended = true
	l.tokens[e.target] -= e.tokens
	if l.tokens[e.target] == 0 {
		delete(l.tokens, e.target)
	}
}

// Tokens returns the prompt tokens that wait at a target.
func (l *Ledger) Tokens(target string) int64 { return l.tokens[target] }
