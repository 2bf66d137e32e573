// Package discovery decides how processes that know only a few seeds find the control
// group, and to whom the control group announces itself.
//
// Load pattern: all processes stop at once and start again, most of them without a disk,
// while the settings name other seeds than before.
// Without it: processes ask seeds that know no more than they do, wait for each other, and
// refuse every call until somebody steps in.
// Rule: whoever has the group's state announces control to the seeds of its settings; the
// leader also to each registered process that does not follow control.
//
// Values of this package are plain data without a lock; time is an argument.
package discovery
