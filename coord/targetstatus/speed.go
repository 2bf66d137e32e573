package targetstatus

// SetSpeed sets the lasting speed of a target in percent of the usual time of work; 0: not known. A
// speed of an instance without a row applies when the row is added.
//
// Load pattern: the speeds of 50 targets change within a second, with 30 entry hosts polling.
// Without it: each change would be a change of the target's description, and the leader would send all
// model names of all targets to all hosts.
// Rule: the speed is part of the load.
func (t *Table) SetSpeed(instance string, percent int) {
	if percent == 0 {
		delete(t.speeds, instance)
	} else {
		t.speeds[instance] = percent
	}
	row := t.rows[instance]
	if row == nil {
		return
	}
	changed := *row
	changed.SpeedPercent = percent
	t.replaceRows(nil, map[string]Status{instance: changed})
}
