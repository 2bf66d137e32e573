// Package discovery decides how processes that know only a few seeds find the control
// group, and to whom the control group announces itself.
//
// Load pattern: all processes stop at once and start again, most of them without a disk,
// while the settings name other seeds than before.
// Without it: processes poll seeds that do not know the control group either, and refuse
// every call until an operator intervenes.
// Rule: members announce the control group to the seeds of their settings, and to registered
// processes that do not poll them.
//
// Values of this package are plain data without a lock; time is an argument.
package discovery
