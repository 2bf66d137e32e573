// Package wire is the hop between an entry host and an agent: the head of a
// request as HTTP headers, and the answer as a sequence of length-delimited
// frames (proto/cowsliptiller/rpc/v1, Frame).
//
// A frame carries the id of the attempt that it answers and a sequence number,
// so that a late or crossed reply is never taken for another request's, and an
// answer counts as whole only by its End frame with the length that came.
package wire
