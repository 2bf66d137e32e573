package streams

import (
	"cmp"
	"slices"

	"cowsliptiller/coord/rendezvous"
)

// Host is an entry host that may hold origins.
type Host struct {
	Name          string
	FailureDomain string
	Address       string // IP:port of the internal listener
}

const (
	// Copies is the number of hosts that hold an origin, besides the one that recorded it.
	Copies = 2
	// AskedHolders is the number of hosts that are asked for an origin: those that hold it, and
	// those that hold it if some of them did not respond, or one of them recorded it itself.
	AskedHolders = 5
)

// Holders returns the hosts in the order in which they hold the origin of a stream, by its id. All hosts derive
// the same order from the same list (rendezvous hashing), and one that joins or leaves changes the
// order of few streams. Hosts of different failure domains come first, so that the loss of one domain
// leaves a copy.
func Holders(stream string, hosts []Host) []Host {
	ranked := slices.Clone(hosts)
	weights := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		weights[h.Name] = rendezvous.Weight(h.Name, stream)
	}
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	var first, rest []Host
	domains := map[string]bool{}
	for _, h := range ranked {
		if domains[h.FailureDomain] {
			rest = append(rest, h)
			continue
		}
		domains[h.FailureDomain] = true
		first = append(first, h)
	}
	return append(first, rest...)
}
