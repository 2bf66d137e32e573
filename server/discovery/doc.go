// Package discovery finds the control processes: a process that does not follow control
// asks its seeds, and control processes announce themselves. coord/discovery decides to
// whom and when; docs/design/discovery.md weighs the ways.
package discovery
