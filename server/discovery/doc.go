// Package discovery finds the control processes: a process that does not follow control
// queries its seeds, and control processes announce themselves. coord/discovery decides
// when they announce themselves and to which recipients; docs/design/discovery.md compares
// the alternatives.
package discovery
