// Package connlimit decides how many connections each listener of a process may have, and which are
// closed for others.
package connlimit
