package discovery

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"cowsliptiller/coord/discovery"
	"cowsliptiller/server/rpc"
)

// Follower is this process's own way to control.
type Follower interface {
	Fresh(now time.Time) bool
	// Confirmed returns the control processes that control itself told of.
	Confirmed() []string
	// Prefer adds control processes, one of which is known to answer.
	Prefer(address string, others []string)
}

// Group is what a control member of this process knows of its group.
type Group struct {
	Leader    uint64 // 0: unknown
	Members   []uint64
	Addresses []string // of the members, internal
}

// Directory tells other processes where control is. It implements rpc.Directory.
type Directory struct {
	disk     bool
	follower Follower
	group    func() Group // empty where no member runs here
	now      func() time.Time

	mu    sync.Mutex // guards heard; a leaf
	heard *discovery.Announcements
}

var _ rpc.Directory = (*Directory)(nil)

// NewDirectory returns a directory; disk says that this host may hold a member.
func NewDirectory(disk bool, f Follower, group func() Group, now func() time.Time) *Directory {
	return &Directory{disk: disk, follower: f, group: group, now: now, heard: discovery.NewAnnouncements()}
}

// Locate implements rpc.Directory.
func (d *Directory) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateResponse, error) {
	g := d.group()
	resp := &rpc.LocateResponse{Disk: d.disk, LeaderMember: g.Leader, Members: g.Members}
	resp.ControlAddresses = union(d.follower.Confirmed(), g.Addresses, d.announced())
	return resp, nil
}

// Announce implements rpc.Directory.
func (d *Directory) Announce(_ context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	now := d.now()
	d.mu.Lock()
	d.heard.Note(r.Address, r.ControlAddresses, now)
	d.mu.Unlock()
	follows := d.follower.Fresh(now)
	if !follows && len(r.Answering) > 0 {
		// A random one: the leader announces itself to the whole fleet.
		d.follower.Prefer(r.Answering[rand.IntN(len(r.Answering))], r.ControlAddresses)
	}
	return &rpc.AnnounceResponse{Follows: follows}, nil
}

func (d *Directory) announced() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heard.Addresses(d.now())
}

func union(lists ...[]string) []string {
	var out []string
	for _, list := range lists {
		for _, address := range list {
			if !slices.Contains(out, address) {
				out = append(out, address)
			}
		}
	}
	return out
}
