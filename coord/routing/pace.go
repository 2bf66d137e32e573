package routing

import "time"

// A slow target. Pattern of load: one target of several answers, but slowly (a
// hot accelerator, a neighbour on its host). Its queue looks no longer than the
// others', so load alone sends it its full share, and those requests miss their
// deadlines. Service times differ by model, so a target is compared with its
// peers for the same name; the mean over the group moves slower than the target's
// own pace, so that one slow member does not look normal.
const (
	paceWeight  = 0.2
	groupWeight = 0.05
	maxPace     = 16.0
)

func (r *Router) pace(t *target, name string, took time.Duration) {
	g := r.serving[name]
	if g == nil || took <= 0 || len(g.all) < 2 {
		return
	}
	s := took.Seconds()
	if g.service == 0 {
		g.service = s
	}
	ratio := min(s/g.service, maxPace)
	t.pace += paceWeight * (ratio - t.pace)
	// A sample far above the mean moves it as twice the mean would.
	g.service += groupWeight * (min(s, 2*g.service) - g.service)
}
