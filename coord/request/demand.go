package request

import (
	"maps"
	"slices"
	"time"

	"cowsliptiller/coord/fair"
)

// Demand summarizes the calls that are queued for one destination.
type Demand struct {
	Destination string
	Waiting     int
	Earliest    time.Time // earliest deadline
	Interactive bool
}

// Demands returns the demand of each destination with queued calls, sorted by name.
func (a *Admission) Demands() []Demand {
	byName := make(map[string]*Demand)
	for _, p := range a.pending {
		d, known := byName[p.Destination]
		if !known {
			d = &Demand{Destination: p.Destination, Earliest: p.Deadline}
			byName[p.Destination] = d
		}
		d.Waiting++
		d.Interactive = d.Interactive || p.Class.Band == fair.Interactive
		if p.Deadline.Before(d.Earliest) {
			d.Earliest = p.Deadline
		}
	}
	demands := make([]Demand, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		demands = append(demands, *byName[name])
	}
	return demands
}
