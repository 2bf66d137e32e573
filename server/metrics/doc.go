// Package metrics defines the Prometheus metrics of the processes. Label values
// come from closed lists (error kinds, outcomes) or from the configuration
// (workspaces, classes). None comes from a caller's input, so that the
// configuration bounds the number of time series.
package metrics
