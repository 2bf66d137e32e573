// Package design describes the HTTP API of callers and operators for goa. The
// generated code is in server/gen and is committed; .ci/generate writes it anew.
package design
