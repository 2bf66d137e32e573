// Package wire implements the protocol between an entry host and an agent. The
// request's metadata travels as HTTP headers, and the response as a sequence of
// length-delimited protobuf frames (proto/cowsliptiller/rpc/v1, Frame).
//
// Each frame carries the id of its attempt and a sequence number, so that a late
// or misrouted response is never attributed to another request. A response is
// complete only when its End frame arrives with the length that was received.
package wire
