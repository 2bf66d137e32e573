package fair

import (
	"sort"
	"time"
)

// Load pattern: one workspace sends several times what it is owed, some of it long;
// people wait for short answers while work that only has to finish is queued up.
//
// Without fairness by tokens, the workspace with the most or the longest requests
// gets the target and the small ones starve. With strict classes alone, work that has
// to finish stands still for as long as people keep calling.
//
// The rules: start-time fair queueing between workspaces (Goyal, Vin, Cheng, 1996),
// each weighted by its rate; interactive work first, but while other classes wait they
// get at least a share of the tokens: a quarter for work with a deadline, a tenth for
// work that has to finish. A tenth keeps it moving and costs people at most a ninth
// more waiting; a quarter is above the share of such work in the deployments served.

// Band is a class of urgency. Lower bands go first.
type Band int

// The bands.
const (
	Interactive Band = iota
	ByDeadline
	MustFinish
	bands
)

// minimumShare is the part of the tokens that a band gets while it waits.
var minimumShare = [bands]float64{ByDeadline: 0.25, MustFinish: 0.10}

// creditCap bounds what a band can be owed, in multiples of its next item, so that
// a long wait does not turn into a long run of that band.
const creditCap = 4

// Item is one piece of waiting work.
type Item struct {
	ID        string
	Workspace string
	Band      Band
	Weight    int64 // of the workspace: its rate in tokens a second
	Tokens    int64 // expected cost, at least 1
	Deadline  time.Time
	Arrived   time.Time
}

// Queue holds waiting items. The zero value is ready.
type Queue struct {
	spaces map[string]*space
	clock  float64 // virtual time: start tag of the item served last
	credit [bands]float64
	waits  [bands]int
	tokens int64
}

// space is the waiting work of one workspace.
type space struct {
	name  string
	tag   float64 // virtual start of its next item
	items [bands][]Item
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	n := 0
	for _, w := range q.waits {
		n += w
	}
	return n
}

// Tokens returns the expected cost of all waiting items.
func (q *Queue) Tokens() int64 {
	return q.tokens
}

// Waiting returns the number of waiting items of a band.
func (q *Queue) Waiting(b Band) int {
	return q.waits[b]
}

// Push adds an item.
func (q *Queue) Push(it Item) {
	if q.spaces == nil {
		q.spaces = make(map[string]*space)
	}
	s, known := q.spaces[it.Workspace]
	if !known {
		s = &space{name: it.Workspace}
		q.spaces[it.Workspace] = s
	}
	if s.empty() {
		// A workspace that was idle starts at the present: it is owed nothing for
		// the time in which it wanted nothing.
		s.tag = max(s.tag, q.clock)
	}
	list := s.items[it.Band]
	at := sort.Search(len(list), func(i int) bool { return before(it, list[i]) })
	list = append(list, Item{})
	copy(list[at+1:], list[at:])
	list[at] = it
	s.items[it.Band] = list
	q.waits[it.Band]++
	q.tokens += it.Tokens
}

// before orders the items of one workspace and band: earliest deadline first where
// the deadline is the point of the class, else first come first served.
func before(a, b Item) bool {
	if a.Band == ByDeadline && !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

// Pop removes and returns the item that goes next.
func (q *Queue) Pop() (Item, bool) {
	return q.PopIf(nil)
}

// PopIf is Pop among the items that allowed accepts. A workspace whose first item in
// a band is not accepted is passed over in that band.
func (q *Queue) PopIf(allowed func(Item) bool) (Item, bool) {
	for _, b := range q.bandOrder() {
		s := q.pick(b, allowed)
		if s == nil {
			continue
		}
		it := s.items[b][0]
		s.items[b] = s.items[b][1:]
		q.served(s, it)
		return it, true
	}
	return Item{}, false
}

// bandOrder puts a band that is owed the cost of its next item in front.
func (q *Queue) bandOrder() []Band {
	order := make([]Band, 0, 2*bands)
	for b := bands - 1; b > Interactive; b-- {
		if s := q.pick(b, nil); s != nil && q.credit[b] >= float64(s.items[b][0].Tokens) {
			order = append(order, b)
		}
	}
	return append(order, Interactive, ByDeadline, MustFinish)
}

// pick returns the workspace that goes next in a band: the least tag, then the name.
func (q *Queue) pick(b Band, allowed func(Item) bool) *space {
	if q.waits[b] == 0 {
		return nil
	}
	var best *space
	for _, s := range q.spaces {
		if len(s.items[b]) == 0 || allowed != nil && !allowed(s.items[b][0]) {
			continue
		}
		if best == nil || s.tag < best.tag || s.tag == best.tag && s.name < best.name {
			best = s
		}
	}
	return best
}

func (q *Queue) served(s *space, it Item) {
	q.waits[it.Band]--
	q.tokens -= it.Tokens
	q.clock = max(q.clock, s.tag)
	s.tag += cost(it.Weight, it.Tokens)
	q.settleCredit(it)
	q.forgetIdle(s)
}

// settleCredit owes each waiting band its share of what others got.
func (q *Queue) settleCredit(it Item) {
	for b := ByDeadline; b < bands; b++ {
		switch {
		case b == it.Band:
			q.credit[b] = max(0, q.credit[b]-float64(it.Tokens)*(1-minimumShare[b]))
		case q.waits[b] > 0:
			q.credit[b] = min(q.credit[b]+float64(it.Tokens)*minimumShare[b], q.creditLimit(b))
		default:
			q.credit[b] = 0
		}
	}
}

func (q *Queue) creditLimit(b Band) float64 {
	s := q.pick(b, nil)
	return creditCap * float64(s.items[b][0].Tokens)
}

// Adjust corrects a workspace's account once the true cost of a served item is known.
func (q *Queue) Adjust(workspace string, weight, expected, actual int64) {
	s, known := q.spaces[workspace]
	if !known {
		return
	}
	s.tag += cost(weight, actual) - cost(weight, expected)
	q.forgetIdle(s)
}

// Remove takes out an item that nobody waits for any more.
func (q *Queue) Remove(id string) (Item, bool) {
	removed := q.RemoveIf(func(it Item) bool { return it.ID == id })
	if len(removed) == 0 {
		return Item{}, false
	}
	return removed[0], true
}

// RemoveIf takes out the items that match, in order of arrival.
func (q *Queue) RemoveIf(match func(Item) bool) []Item {
	var removed []Item
	for _, s := range q.spaces {
		for b := range s.items {
			kept := s.items[b][:0]
			for _, it := range s.items[b] {
				if !match(it) {
					kept = append(kept, it)
					continue
				}
				removed = append(removed, it)
				q.waits[b]--
				q.tokens -= it.Tokens
			}
			s.items[b] = kept
		}
		q.forgetIdle(s)
	}
	sort.Slice(removed, func(i, j int) bool {
		if !removed[i].Arrived.Equal(removed[j].Arrived) {
			return removed[i].Arrived.Before(removed[j].Arrived)
		}
		return removed[i].ID < removed[j].ID
	})
	return removed
}

// forgetIdle drops a workspace that waits for nothing and is owed nothing.
func (q *Queue) forgetIdle(s *space) {
	if s.empty() && s.tag <= q.clock {
		delete(q.spaces, s.name)
	}
}

func (s *space) empty() bool {
	return len(s.items[Interactive]) == 0 && len(s.items[ByDeadline]) == 0 && len(s.items[MustFinish]) == 0
}

func cost(weight, tokens int64) float64 {
	return float64(tokens) / float64(max(1, weight))
}
