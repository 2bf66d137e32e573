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

// Follower is this process's connection to control.
type Follower interface {
	Fresh(now time.Time) bool
	// Confirmed returns the addresses of the control processes of the settings and those
	// that control itself reported.
	Confirmed() []string
	// Prefer adds addresses of control processes, of which address is known to answer.
	Prefer(address string, others []string)
}

// Group is the control group as seen by the member in this process.
type Group struct {
	Leader    uint64 // 0: unknown
	Members   []uint64
	Addresses []string // internal addresses of the members
}

// Directory provides the addresses of control to other processes. It implements
// rpc.Directory.
type Directory struct {
	hasDisk  bool
	follower Follower
	group    func() Group // empty if no member runs in this process
	now      func() time.Time

	mu            sync.Mutex // guards announcements; no other lock is acquired while it is held
	announcements *discovery.Announcements
}

var _ rpc.Directory = (*Directory)(nil)

// NewDirectory returns a directory. hasDisk is true if this host may run a control member.
func NewDirectory(hasDisk bool, f Follower, group func() Group, now func() time.Time) *Directory {
	return &Directory{hasDisk: hasDisk, follower: f, group: group, now: now, announcements: discovery.NewAnnouncements()}
}

// Locate implements rpc.Directory.
func (d *Directory) Locate(context.Context, *rpc.LocateRequest) (*rpc.LocateResponse, error) {
	g := d.group()
	resp := &rpc.LocateResponse{Disk: d.hasDisk, LeaderMember: g.Leader, Members: g.Members}
	resp.ControlAddresses = union(d.follower.Confirmed(), g.Addresses, d.announcedAddresses())
	return resp, nil
}

// Announce implements rpc.Directory.
func (d *Directory) Announce(_ context.Context, r *rpc.AnnounceRequest) (*rpc.AnnounceResponse, error) {
	now := d.now()
	d.mu.Lock()
	d.announcements.Record(r.Address, r.ControlAddresses, now)
	d.mu.Unlock()
	follows := d.follower.Fresh(now)
	if !follows && len(r.Answering) > 0 {
		// The choice is random because the leader announces itself to the whole fleet,
		// which would otherwise follow the leader alone.
		d.follower.Prefer(r.Answering[rand.IntN(len(r.Answering))], r.ControlAddresses)
	}
	return &rpc.AnnounceResponse{Follows: follows}, nil
}

func (d *Directory) announcedAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.announcements.Addresses(d.now())
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
