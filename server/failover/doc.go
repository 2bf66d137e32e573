// Package failover provides clients that call control through any reachable control
// process. Any control process accepts any call and forwards those that only the leader can
// execute, so the client only has to skip processes that are down, partitioned or
// unresponsive.
package failover
