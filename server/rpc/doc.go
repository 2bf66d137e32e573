// Package rpc holds the generated calls between the project's own processes, and
// how an error kind travels in them.
package rpc
