// Package view is what entry hosts and agents know of the control state: an
// immutable snapshot, followed by long polls, that never goes back to a lower
// revision, and a freshness lease that says until when it may be acted on.
package view
