package experiment

import (
	"strconv"
	"time"

	"cowsliptiller/coord/workspace"
)

// ownLimiter is workspace.Owner on the leader and a workspace.Holder on each entry host.
type ownLimiter struct {
	w       *world
	owner   *workspace.Owner
	holders []*workspace.Holder
	waiting map[string]func(bool) // by request
}

func newOwnLimiter(w *world) limiter {
	limits := workspace.Limits(w.config)
	l := &ownLimiter{w: w, owner: workspace.NewOwner(1, limits, nil, w.time()), waiting: map[string]func(bool){}}
	l.owner.ExtendLease(w.time().Add(24 * time.Hour))
	return l
}

// holder returns an entry host's holder; hosts come up with the first request.
func (l *ownLimiter) holder(entry int) *workspace.Holder {
	for len(l.holders) <= entry {
		key := workspace.HostKey{Host: strconv.Itoa(len(l.holders)), Incarnation: "1"}
		h := workspace.NewHolder(key, l.w.time())
		h.Configure(workspace.Limits(l.w.config), l.w.time())
		l.holders = append(l.holders, h)
	}
	return l.holders[entry]
}

func (l *ownLimiter) charge(r *request, done func(bool)) {
	id := strconv.Itoa(r.id)
	_, waits, err := l.holder(r.entry).Charge(id, r.workspace, r.tokens(), epoch.Add(r.deadline), l.w.time())
	if waits {
		l.waiting[id] = done
		l.poll(r.entry)
		return
	}
	done(err == nil)
}

// poll sends a holder's next message, if it has one to send.
func (l *ownLimiter) poll(entry int) {
	h := l.holders[entry]
	draw := h.Poll(l.w.time())
	if draw == nil {
		return
	}
	l.w.after(hop, func() {
		reply, err := l.owner.Draw(draw, l.w.time())
		l.w.after(hop, func() {
			if err != nil {
				h.DrawFailed(draw.Sequence, l.w.time())
				return
			}
			l.settle(h.Reply(reply, l.w.time()))
			l.poll(entry)
		})
	})
}

func (l *ownLimiter) settle(outcomes []workspace.Outcome) {
	for _, o := range outcomes {
		done := l.waiting[o.ID]
		delete(l.waiting, o.ID)
		done(o.Err == nil)
	}
}

func (l *ownLimiter) tick() {
	for i, h := range l.holders {
		l.settle(h.Tick(l.w.time()))
		l.poll(i)
	}
}
