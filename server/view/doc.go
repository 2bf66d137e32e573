// Package view replicates the control state to entry hosts and agents. A Follower keeps an
// immutable snapshot up to date by long polls, never returns to a lower revision, and
// maintains a freshness lease, which limits how long the snapshot may be used.
package view
