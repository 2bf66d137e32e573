// Package connlimit decides which connections a process closes when it has as many as it may.
package connlimit
