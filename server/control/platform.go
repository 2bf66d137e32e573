package control

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
	"cowsliptiller/coord/state"
	"cowsliptiller/server/upstream"
)

// Bounds on the platform's list. It lags by itself, so that asking more often than
// every two seconds gains little.
const (
	platformInterval = 2 * time.Second
	platformTimeout  = time.Second
	platformMaxBytes = 4 << 20
)

// platformActor is who drains in the audit trail when the platform's list says so.
const platformActor = "platform"

// platformLeaving is the state of a host that the platform takes back.
const platformLeaving = "leaving"

// platformList is the platform's list of live and leaving hosts.
type platformList struct {
	Hosts []struct {
		Host  string `json:"host"`
		State string `json:"state"` // live or leaving
	} `json:"hosts"`
}

// followPlatform drains the hosts that the platform's list shows as leaving, while
// this process leads. The list lags: a host that it shows as live may have left, and
// one that it lacks may run. So it only ever begins a drain. Whether a process lives
// is told by its lease, and an operator takes a drain back.
func (c *Role) followPlatform(ctx context.Context) {
	client := platformClient()
	for ctx.Err() == nil {
		c.sleep(ctx, platformInterval)
		if !c.log.Status().Leading {
			continue
		}
		list, err := readPlatform(ctx, client, c.settings.Control.PlatformList)
		if err != nil {
			c.logger.Warn("the platform's list of hosts cannot be read", "error", err)
			continue
		}
		c.drainLeaving(ctx, list)
	}
}

// platformClient returns a client for the platform's list. The heads and bodies that it reads are bounded.
func platformClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	return &http.Client{Timeout: platformTimeout, Transport: upstream.CheckHeads(transport)}
}

func readPlatform(ctx context.Context, client *http.Client, url string) (*platformList, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, fault.New(fault.InvalidRequest, "%v", err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "%v", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, "status %d", resp.StatusCode)
	}
	var list platformList
	if err := json.NewDecoder(io.LimitReader(resp.Body, platformMaxBytes)).Decode(&list); err != nil {
		return nil, fault.New(fault.InvalidRequest, "%v", err)
	}
	return &list, nil
}

func (c *Role) drainLeaving(ctx context.Context, list *platformList) {
	staying := map[string]bool{}
	c.machine.Read(func(s *state.State) {
		for _, h := range s.Hosts() {
			if !h.Leaving {
				staying[h.Host] = true
			}
		}
	})
	for _, h := range list.Hosts {
		if h.State != platformLeaving || !staying[h.Host] {
			continue
		}
		err := c.commitHere(ctx, &coordpb.Command{Actor: platformActor, Change: &coordpb.Command_DrainHost{
			DrainHost: &coordpb.DrainHost{Host: h.Host, Leaving: true}}})
		if err != nil {
			c.logger.Warn("drain of a host that the platform takes back is not committed", "host", h.Host, "error", err)
		}
	}
}
