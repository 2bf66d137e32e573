package fair

import (
	"slices"
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
	Bands // number of bands
)

// minimumShare is the part of the tokens that a band gets while it waits.
var minimumShare = [Bands]float64{ByDeadline: 0.25, MustFinish: 0.10}

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
	credit [Bands]float64
	waits  [Bands]int
	tokens int64
}

// space is the waiting work of one workspace.
type space struct {
	name   string
	tag    float64 // virtual start of its next item
	weight int64
	items  [Bands][]Item
	cost   [Bands]int64 // sums of tokens
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
	s.weight = max(1, it.Weight)
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
	q.count(s, it, 1)
}

// count adds an item to the sums, or takes it out with sign -1.
func (q *Queue) count(s *space, it Item, sign int) {
	q.waits[it.Band] += sign
	q.tokens += int64(sign) * it.Tokens
	s.cost[it.Band] += int64(sign) * it.Tokens
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
	return q.PopBy(first)
}

// Chooser picks one of a workspace's waiting items of one band, which are in order,
// or -1 for none. It is how a target prefers or passes over items of a workspace.
type Chooser func(items []Item) int

func first([]Item) int { return 0 }

// PopBy is Pop with a chooser. A workspace of which it picks none is passed over.
func (q *Queue) PopBy(choose Chooser) (Item, bool) {
	for _, b := range q.bandOrder() {
		s, i := q.pick(b, choose)
		if s == nil {
			continue
		}
		it := s.items[b][i]
		s.items[b] = slices.Delete(s.items[b], i, i+1)
		q.served(s, it)
		return it, true
	}
	return Item{}, false
}

// bandOrder puts a band that is owed the cost of its next item in front.
func (q *Queue) bandOrder() []Band {
	order := make([]Band, 0, 2*Bands)
	for b := Bands - 1; b > Interactive; b-- {
		if s, _ := q.pick(b, first); s != nil && q.credit[b] >= float64(s.items[b][0].Tokens) {
			order = append(order, b)
		}
	}
	return append(order, Interactive, ByDeadline, MustFinish)
}

// pick returns the workspace that goes next in a band, the least tag, then the name,
// and which of its items.
func (q *Queue) pick(b Band, choose Chooser) (best *space, item int) {
	if q.waits[b] == 0 {
		return nil, 0
	}
	for _, s := range q.spaces {
		if len(s.items[b]) == 0 || best != nil && (s.tag > best.tag || s.tag == best.tag && s.name > best.name) {
			continue
		}
		if i := choose(s.items[b]); i >= 0 {
			best, item = s, i
		}
	}
	return best, item
}

func (q *Queue) served(s *space, it Item) {
	q.count(s, it, -1)
	q.clock = max(q.clock, s.tag)
	s.tag += cost(it.Weight, it.Tokens)
	q.settleCredit(it)
	q.forgetIdle(s)
}

// settleCredit owes each waiting band its share of what others got.
func (q *Queue) settleCredit(it Item) {
	for b := ByDeadline; b < Bands; b++ {
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
	s, _ := q.pick(b, first)
	return creditCap * float64(s.items[b][0].Tokens)
}

// Ahead returns the expected cost of what would be served before a new item of a
// workspace and band: its own items, and of each other workspace what its fair share
// lets it have until the new item's turn.
func (q *Queue) Ahead(workspace string, weight int64, b Band) int64 {
	turn := q.clock
	own := int64(0)
	if s, known := q.spaces[workspace]; known {
		turn = max(turn, s.tag)
		own = s.tokens(b)
	}
	turn += cost(weight, own)
	ahead := own
	for name, s := range q.spaces {
		if name != workspace {
			share := (turn - s.tag) * float64(s.weight)
			ahead += max(0, min(s.tokens(b), int64(share)+1))
		}
	}
	return ahead
}

// tokens returns the expected cost of the waiting items up to a band.
func (s *space) tokens(b Band) int64 {
	total := int64(0)
	for i := Interactive; i <= b; i++ {
		total += s.cost[i]
	}
	return total
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

// RemoveIf takes out the items that match, in order of arrival. It asks for them in
// order of workspace, since what match tells may depend on what is left.
func (q *Queue) RemoveIf(match func(Item) bool) []Item {
	var removed []Item
	for _, s := range q.inOrder() {
		for b := range s.items {
			kept := s.items[b][:0]
			for _, it := range s.items[b] {
				if !match(it) {
					kept = append(kept, it)
					continue
				}
				removed = append(removed, it)
				q.count(s, it, -1)
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

func (q *Queue) inOrder() []*space {
	spaces := make([]*space, 0, len(q.spaces))
	for _, s := range q.spaces {
		spaces = append(spaces, s)
	}
	sort.Slice(spaces, func(i, j int) bool { return spaces[i].name < spaces[j].name })
	return spaces
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
