// Package inbound tracks the connections that callers open to this process, and closes
// those that are not needed any more. A connection counts as idle by what has arrived on
// it, not by net/http's state: that one is idle until the whole header of the next
// request has been read. So one with anything of a request is never closed as idle.
package inbound
