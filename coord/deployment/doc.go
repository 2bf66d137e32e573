// Package deployment holds the complete configuration that a platform sends under a
// version of its own: routes, services, workspaces with their keys, and the limits on
// callers.
//
// The highest version is in force. A document whose version is not above it is
// acknowledged and changes nothing, so that concurrent operators and retried calls end
// in the same state in any order.
package deployment
