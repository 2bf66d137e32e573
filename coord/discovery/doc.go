// Package discovery schedules the announcements by which processes that are configured
// with only a few seeds find the control group.
//
// Load pattern: all processes restart at once, most without a disk and with other seeds.
// Without it: processes poll seeds that have no address of the control group either, and
// reject every call until an operator intervenes.
// Rule: members announce the control group to the seeds in their settings, and to
// registered processes that do not poll them.
//
// Types of this package have no locks; callers serialize access and pass the current time.
package discovery
