// Package control wires the control role: the twirp service for entry hosts and
// agents, and the operators' API, on top of the replicated state.
package control
