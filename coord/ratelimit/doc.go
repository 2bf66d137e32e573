// Package ratelimit keeps the rate limits that targets announce in their answers.
//
// The types have no lock and no clock: callers serialize all calls and pass the time.
package ratelimit
