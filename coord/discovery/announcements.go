package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// announcementLifetime is how long an announcement is relayed: several times
	// seedInterval, so that only addresses no longer announced expire.
	announcementLifetime = 10 * time.Second
	// maxAnnouncers limits the size of the table; a group has only a few members.
	maxAnnouncers = 64
)

// Announcements holds the addresses that control processes announced to this process. Only
// these are relayed: if relayed addresses were relayed again, that of a removed member would
// never expire.
type Announcements struct {
	byAnnouncer map[string]announcement // by the sender's address
}

type announcement struct {
	addresses []string
	expires   time.Time
}

// NewAnnouncements returns an empty table.
func NewAnnouncements() *Announcements {
	return &Announcements{byAnnouncer: map[string]announcement{}}
}

// Record records an announcement from the control process at an address. A new sender is
// ignored while the table is full.
func (a *Announcements) Record(from string, addresses []string, now time.Time) {
	a.dropExpired(now)
	if _, known := a.byAnnouncer[from]; !known && len(a.byAnnouncer) >= maxAnnouncers {
		return
	}
	a.byAnnouncer[from] = announcement{addresses: slices.Clone(addresses), expires: now.Add(announcementLifetime)}
}

// Addresses returns the addresses of the control processes in unexpired announcements,
// sorted.
func (a *Announcements) Addresses(now time.Time) []string {
	a.dropExpired(now)
	all := map[string]bool{}
	for from, n := range a.byAnnouncer { // any order: the result is sorted
		all[from] = true
		for _, address := range n.addresses {
			all[address] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

func (a *Announcements) dropExpired(now time.Time) {
	maps.DeleteFunc(a.byAnnouncer, func(_ string, n announcement) bool { return !now.Before(n.expires) })
}
