package promptwork

import "time"

// Load pattern: targets of different speed hold a model; prompts of other hosts are being processed there.
// Without it: the number of requests decides. A target that processes prompts most of the time looks as free
// as one that generates output, and a long prompt is sent to a slow target that needs a second for it.
// Rule: choose by the time until the request's own prompt is processed: its wait for a slot, the prompts before
// it, and its own prompt at the speed of the target.

const (
	// residualTokens is the mean rest of the prompt that an arriving request finds in process, E[S^2]/2E[S].
	// With chats of 826 and digests of 2,368 tokens on average at 116 to 24 a second it is 1,400.
	residualTokens = 1400
	// maxShare bounds the share of time in the queueing formula. A share is measured over a second and is up to
	// 0.75 s old, so that above this value its differences are mostly chance, which the formula would magnify:
	// it preferred slow targets for their lower figures.
	maxShare = 0.4
	// reportFresh is the age up to which a reported rate counts in full; polls are up to 0.75 s apart.
	reportFresh = time.Second
	// reportMaxAge is the age from which a reported rate does not count.
	reportMaxAge = 2 * time.Second
)

// Target is what a host knows of a target when it places a request.
type Target struct {
	Speed           float64       // factor of processing times: 1 is usual, 2 takes twice as long
	Wait            time.Duration // until the request gets a slot
	OwnTokens       int64         // see Ledger
	TokensPerSecond float64       // prompt tokens that arrive there, as reported
	ReportAge       time.Duration // of TokensPerSecond
}

// Work is the prompt of a request.
type Work struct {
	PerToken float64 // seconds that one token takes at usual speed
	Tokens   int64
}

// Share returns the share of its time that a target spends on prompts. It is over 1 where more arrive than it
// can process.
func (t Target) Share(perToken float64) float64 {
	fresh := 1 - (t.ReportAge-reportFresh).Seconds()/(reportMaxAge-reportFresh).Seconds()
	return max(0, t.TokensPerSecond*perToken*t.Speed) * min(1, max(0, fresh))
}

// Cost returns the seconds until a target has processed the request's prompt.
func Cost(t Target, w Work) float64 {
	perToken := w.PerToken * t.Speed
	share := min(t.Share(w.PerToken), maxShare)
	before := (float64(t.OwnTokens) + share*residualTokens) * perToken / (1 - share)
	return t.Wait.Seconds() + before + float64(boundTokens(w.Tokens))*perToken
}

func boundTokens(tokens int64) int64 { return min(max(0, tokens), maxPromptTokens) }
