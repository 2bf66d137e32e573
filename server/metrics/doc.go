// Package metrics names what the processes measure. Label values come from
// closed lists (error kinds, outcomes) or from the configuration (workspaces,
// classes); none comes from a caller's input, so that the number of series is
// bounded by the configuration.
package metrics
