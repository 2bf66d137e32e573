// Package streams decides at which targets a stream that broke off may be resumed.
//
// Load pattern: targets of several software versions serve side by side. Targets and connections
// end, and entry hosts end with all the streams that they forward; their callers resume at others, of which
// some are out of step for seconds.
// Without it: a stream is resumed at any target that holds its model, and its events do not fit
// together; or hosts refuse all resumed streams whose beginning they did not forward.
// Rule: a stream is resumed only at the version that began it. Entry hosts share the origin of each
// stream with two others. If the origin is not found, every target that the service has had for as
// long as the stream can have lasted must have had one version, by the answer of the control leader to a question
// that is asked after the stream was resumed: a host's own table may lack targets that others have.
//
// The types have no lock and no clock: callers serialize all calls and pass the time.
package streams
