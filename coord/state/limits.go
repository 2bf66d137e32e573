package state

import (
	"time"

	"cowsliptiller/coord/request"
)

// Limits of the tables. A control process keeps all tables in memory and in each
// snapshot, so none may grow without bound. At its limit a table either rejects new
// rows (where dropping one would break a guarantee) or drops its oldest row (where
// only history is lost).
const (
	// MaxKeys limits the keys; more are rejected. 100,000 is a thousand keys for each
	// of a hundred workspaces.
	MaxKeys = 100_000
	// MaxWithdrawnKeys limits the withdrawn keys that are kept. The oldest is dropped:
	// an unknown digest is rejected just as a withdrawn one is.
	MaxWithdrawnKeys = 10_000
	// MaxHosts limits the host rows; more are rejected. It is five times the largest
	// planned fleet.
	MaxHosts = 10_000
	// MaxPastIncarnations limits the past incarnations kept per host row; the oldest
	// is dropped. A superseded process that is still running is one or two restarts
	// old; eight leaves room for a host in a restart loop.
	MaxPastIncarnations = 8
	// MaxForgottenHosts limits the rows kept of forgotten hosts; the oldest is dropped.
	// A forgotten host that returns does so within hours, and fewer than a thousand
	// are forgotten in that time.
	MaxForgottenHosts = 1_000
	// MaxClaims limits the claims; more are rejected, since dropping a claim could let
	// its call run twice. 100,000 is more than one call per second, kept for a day.
	MaxClaims = 100_000
	// MaxClaimsPerWorkspace limits the claims of a workspace; more are rejected. It
	// prevents a workspace with many non-repeatable calls from exhausting the table,
	// which would reject the calls of all others.
	MaxClaimsPerWorkspace = MaxClaims / 4
	// MaxOutcomeBytes limits one recorded response body. Of a longer one only the
	// status and content type are recorded, and a retry is told only that the call ran.
	MaxOutcomeBytes = 16 << 10
	// MaxTotalOutcomeBytes limits all recorded response bodies together. Beyond it,
	// responses are recorded without their body.
	MaxTotalOutcomeBytes = 32 << 20
	// MaxStrikesPerWorkspace limits the strikes rows of a workspace. The row of that
	// workspace that expires first is dropped, so that no workspace can evict the
	// strikes of another.
	MaxStrikesPerWorkspace = 1_000
	// MaxLeases limits the leases; more are rejected. Only this project's own processes
	// name leases, so their number is small.
	MaxLeases = 1_024
	// MaxEvacuations limits the failure domains that are evacuated or were; more are rejected.
	// The planned fleet has ten.
	MaxEvacuations = 256
	// MaxSubmissions limits the submissions kept; the oldest is dropped. It is ten times
	// the number of changes in a busy month.
	MaxSubmissions = 2_000
	// MaxRecordedResults limits the results kept; the oldest is dropped. A resend
	// arrives within minutes; 4,096 commands with an id cover days of operator work.
	MaxRecordedResults = 4_096
	// MaxAuditRecords limits the audit records; the oldest is dropped. Sequence numbers
	// show the gap.
	MaxAuditRecords = 10_000
	// MaxTombstones limits the tombstones; the oldest is dropped. A follower with an
	// older view receives a full view.
	MaxTombstones = 4_096
	// MaxNameBytes limits names that do not come from the questionnaire.
	MaxNameBytes = 253
)

// MaxReleasedAttempts limits the attempts settled as not run that are kept per key to
// recognise delayed duplicates of their commands. A duplicate arrives within the time
// in which a command is committed or given up (5 s). A key is claimed by at most a few
// attempts in that time, since each claim and each release needs a commit.
const MaxReleasedAttempts = 16

// Retention times and the strike limit.
const (
	// ClaimRetention is the minimum time for which an idempotency key is kept, even if
	// an earlier expiry was requested: a caller who retries within a day receives the
	// outcome. After expiry the key can be claimed again, and a retry would run.
	ClaimRetention = 24 * time.Hour
	// MaxClaimRetention limits the expiry that can be requested.
	MaxClaimRetention = 7 * 24 * time.Hour
	// NotRunRetention is how long a claim settled as not run is kept, only to recognise
	// delayed duplicates of its commands. It is far longer than the time in which a
	// command is committed or given up. With ClaimRetention instead, rejected calls
	// would fill the table for a day.
	NotRunRetention = 10 * time.Minute
	// StrikeRetention is how long a request stays quarantined after its last strike:
	// long enough for its caller to stop sending it, short enough that a repaired
	// engine serves it again within the hour.
	StrikeRetention = time.Hour
	// StrikeLimit is the number of attempts that crashed their target after which a
	// request is rejected. A single crash can be the fault of the target; crashes in
	// two attempts of the same request are attributed to the request.
	StrikeLimit = request.MaxStrikes
)
