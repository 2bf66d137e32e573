// Package targetspeed keeps the speeds that targets announce with their responses.
//
// Load pattern: 51 targets of one service, 60 % of which need 70 % of the usual time and 40 % need
// 170 %. About 15 % of the responses come from bursts of 0.3 to 1 s, in which a target needs 2.5
// times as long as it usually does.
// Without it: equal numbers of requests are sent to all targets, and the wait at a slow one is
// estimated as at a fast one. Where every host acts on its own newest sample, all hosts leave a
// target in a burst and return to it at the same time.
// Rule: the leader averages the samples of all hosts over seconds, and this lasting speed decides.
// A burst only makes a host prefer the other one of two random candidates.
//
// A percentage is the target's processing time in percent of the usual one; more is slower.
// Callers pass the current time as an argument and serialize access.
package targetspeed
