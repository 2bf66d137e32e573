// Package member runs a control role inside a process that also has other roles. A
// Supervisor founds or joins the control group, reopens the role after its disk
// failed, rejoins as a new member after the disk or the membership was lost, and, on
// the leader, removes failed members from the group.
//
// Hosts with a disk also serve callers' requests, and a full or hanging disk must not
// interrupt those. The role is therefore restarted without stopping the process.
package member
