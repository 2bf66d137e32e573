// Package fleet tracks the processes that follow the control state through one control
// process: the freshness lease that it granted to each, and the latest revision that each
// acknowledged. It also decides which member to remove from the control group.
//
// Types of this package have no locks; callers serialize access and pass the current time.
package fleet
