// Package store keeps a control member's log, vote and snapshot in its data folder.
// Nothing is acknowledged before it is synced.
package store
