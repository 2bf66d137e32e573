// Package failover makes calls to control through whichever control process
// answers. Any control process takes any call and forwards what only the leader
// can do, so all that is left is to leave one that is down, cut off or silent.
package failover
