// Package routing chooses the target for one attempt from a view that lags.
package routing
