package discovery

import (
	"maps"
	"slices"
	"time"
)

const (
	// announcementLifetime is several announcements to a seed: what is not announced any
	// more is not passed on.
	announcementLifetime = 10 * time.Second
	// maxAnnouncers bounds the table; a group has a few members.
	maxAnnouncers = 64
)

// Announcements holds the addresses that control processes announced themselves. Only these
// are relayed: relaying what was relayed would keep the address of a removed member alive.
type Announcements struct {
	heard map[string]announcement // by the address of who announced
}

type announcement struct {
	addresses []string
	until     time.Time
}

// NewAnnouncements returns an empty table.
func NewAnnouncements() *Announcements {
	return &Announcements{heard: map[string]announcement{}}
}

// Note takes the announcement of the control process at an address.
func (a *Announcements) Note(from string, addresses []string, now time.Time) {
	a.forget(now)
	if _, known := a.heard[from]; !known && len(a.heard) >= maxAnnouncers {
		return
	}
	a.heard[from] = announcement{addresses: slices.Clone(addresses), until: now.Add(announcementLifetime)}
}

// Addresses returns the control processes that were announced lately, in order.
func (a *Announcements) Addresses(now time.Time) []string {
	a.forget(now)
	known := map[string]bool{}
	for from, h := range a.heard { // any order: a union
		known[from] = true
		for _, address := range h.addresses {
			known[address] = true
		}
	}
	return slices.Sorted(maps.Keys(known))
}

func (a *Announcements) forget(now time.Time) {
	maps.DeleteFunc(a.heard, func(_ string, h announcement) bool { return !now.Before(h.until) })
}
