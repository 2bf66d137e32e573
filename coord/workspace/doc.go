// Package workspace is the aggregate of one workspace: its rate and burst in tokens
// over the whole fleet, kept by one owner that hands small grants to entry hosts.
package workspace
