package fair

import (
	"slices"
	"sort"
	"time"
)

// Load pattern: one workspace exceeds its share; interactive and MustFinish work waits.
// Without it: small workspaces starve behind many or long requests, and strict priority
// starves MustFinish work as long as interactive requests arrive.
// Rule: start-time fair queueing of tokens between workspaces (Goyal, Vin, Cheng, 1996),
// weighted by their rates. Interactive work goes first; waiting bands get minimumShare.

// Band is a priority class. Lower bands go first.
type Band int

// Bands in order of priority.
const (
	Interactive Band = iota
	ByDeadline
	MustFinish
	NumBands // the number of bands
)

// minimumShare is the fraction of the tokens that a band gets at least while it has waiting
// items. 10% for MustFinish lets it progress and adds at most 1/9 to the wait of interactive
// work. 25% for ByDeadline exceeds the share of such work in the deployments served.
var minimumShare = [NumBands]float64{ByDeadline: 0.25, MustFinish: 0.10}

// creditCap is the maximum credit of a band, in multiples of the cost of its next item. It
// keeps a band that waited long from being served many items in a row.
const creditCap = 4

// Item is one unit of waiting work.
type Item struct {
	ID        string
	Workspace string
	Band      Band
	Weight    int64 // of the workspace: its rate in tokens per second
	Tokens    int64 // expected cost, at least 1
	Deadline  time.Time
	Arrived   time.Time
}

// Queue holds waiting items. The zero value is an empty queue.
type Queue struct {
	workspaces  map[string]*workspaceQueue
	virtualTime float64           // highest start tag of an item served so far
	credit      [NumBands]float64 // tokens that a waiting band is owed
	waiting     [NumBands]int     // number of items
	tokens      int64             // expected cost of all items
}

// workspaceQueue holds the waiting items of one workspace.
type workspaceQueue struct {
	name       string
	startTag   float64 // virtual start time of its next item
	weight     int64
	items      [NumBands][]Item
	bandTokens [NumBands]int64 // expected cost of the items
}

// Len returns the number of waiting items.
func (q *Queue) Len() int {
	n := 0
	for _, w := range q.waiting {
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
	return q.waiting[b]
}

// Push adds an item.
func (q *Queue) Push(it Item) {
	if q.workspaces == nil {
		q.workspaces = make(map[string]*workspaceQueue)
	}
	w, known := q.workspaces[it.Workspace]
	if !known {
		w = &workspaceQueue{name: it.Workspace}
		q.workspaces[it.Workspace] = w
	}
	w.weight = max(1, it.Weight)
	if w.empty() {
		// A workspace that was idle starts at the current virtual time, so that it
		// gets no credit for its idle time.
		w.startTag = max(w.startTag, q.virtualTime)
	}
	list := w.items[it.Band]
	at := sort.Search(len(list), func(i int) bool { return before(it, list[i]) })
	list = append(list, Item{})
	copy(list[at+1:], list[at:])
	list[at] = it
	w.items[it.Band] = list
	q.updateTotals(w, it, 1)
}

// updateTotals adds an item to the totals with sign 1 and subtracts it with sign -1.
func (q *Queue) updateTotals(w *workspaceQueue, it Item, sign int) {
	q.waiting[it.Band] += sign
	q.tokens += int64(sign) * it.Tokens
	w.bandTokens[it.Band] += int64(sign) * it.Tokens
}

// before reports whether a precedes b, both of one workspace and band: earliest deadline
// first in ByDeadline, otherwise in order of arrival.
func before(a, b Item) bool {
	if a.Band == ByDeadline && !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

// Pop removes and returns the next item. It returns false if the queue is empty.
func (q *Queue) Pop() (Item, bool) {
	return q.PopBy(firstItem)
}

// Chooser returns the index of one of a workspace's waiting items of one band, or -1 for
// none. The items are sorted and never empty. A target uses it to prefer or skip items of
// a workspace.
type Chooser func(items []Item) int

// firstItem is the Chooser that takes the items in order.
func firstItem([]Item) int { return 0 }

// PopBy is like Pop, but choose selects the item of a workspace. A workspace for which it
// returns -1 is skipped.
func (q *Queue) PopBy(choose Chooser) (Item, bool) {
	for _, b := range q.bandOrder() {
		w, i := q.pick(b, choose)
		if w == nil {
			continue
		}
		it := w.items[b][i]
		w.items[b] = slices.Delete(w.items[b], i, i+1)
		q.charge(w, it)
		return it, true
	}
	return Item{}, false
}

// bandOrder returns the order in which Pop tries the bands. Bands with enough credit for
// their next item are tried before all others, the lowest priority first.
func (q *Queue) bandOrder() []Band {
	order := make([]Band, 0, 2*NumBands)
	for b := NumBands - 1; b > Interactive; b-- {
		if w, _ := q.pick(b, firstItem); w != nil && q.credit[b] >= float64(w.items[b][0].Tokens) {
			order = append(order, b)
		}
	}
	return append(order, Interactive, ByDeadline, MustFinish)
}

// pick returns the next workspace of a band and the index of its item: the lowest start
// tag, then the lowest name, of those for which choose returns an item. It returns nil if
// there is none.
func (q *Queue) pick(b Band, choose Chooser) (best *workspaceQueue, item int) {
	if q.waiting[b] == 0 {
		return nil, 0
	}
	for _, w := range q.workspaces {
		if len(w.items[b]) == 0 || best != nil && (w.startTag > best.startTag || w.startTag == best.startTag && w.name > best.name) {
			continue
		}
		if i := choose(w.items[b]); i >= 0 {
			best, item = w, i
		}
	}
	return best, item
}

// charge accounts for an item that has been removed to be served.
func (q *Queue) charge(w *workspaceQueue, it Item) {
	q.updateTotals(w, it, -1)
	q.virtualTime = max(q.virtualTime, w.startTag)
	w.startTag += virtualCost(it.Weight, it.Tokens)
	q.updateCredit(it)
	q.dropIdle(w)
}

// updateCredit credits each waiting band with its minimum share of the served item's tokens
// and debits the item's own band.
func (q *Queue) updateCredit(it Item) {
	for b := ByDeadline; b < NumBands; b++ {
		switch {
		case b == it.Band:
			q.credit[b] = max(0, q.credit[b]-float64(it.Tokens)*(1-minimumShare[b]))
		case q.waiting[b] > 0:
			q.credit[b] = min(q.credit[b]+float64(it.Tokens)*minimumShare[b], q.creditLimit(b))
		default:
			q.credit[b] = 0
		}
	}
}

// creditLimit returns the maximum credit of a band, which must have waiting items.
func (q *Queue) creditLimit(b Band) float64 {
	w, _ := q.pick(b, firstItem)
	return creditCap * float64(w.items[b][0].Tokens)
}

// TokensAhead returns the expected cost, in tokens, of the items that would be served before a
// new item of a workspace and band: the workspace's own items, and those of each other
// workspace that its fair share allows until the new item's start tag.
func (q *Queue) TokensAhead(workspace string, weight int64, b Band) int64 {
	turn := q.virtualTime
	own := int64(0)
	if w, known := q.workspaces[workspace]; known {
		turn = max(turn, w.startTag)
		own = w.tokensUpTo(b)
	}
	turn += virtualCost(weight, own)
	ahead := own
	for name, w := range q.workspaces {
		if name != workspace {
			share := (turn - w.startTag) * float64(w.weight)
			ahead += max(0, min(w.tokensUpTo(b), int64(share)+1))
		}
	}
	return ahead
}

// tokensUpTo returns the expected cost of the waiting items of band b and the bands before.
func (w *workspaceQueue) tokensUpTo(b Band) int64 {
	total := int64(0)
	for i := Interactive; i <= b; i++ {
		total += w.bandTokens[i]
	}
	return total
}

// Adjust corrects a workspace's start tag once the actual cost of a served item is known.
// weight must be that of the item.
func (q *Queue) Adjust(workspace string, weight, expected, actual int64) {
	w, known := q.workspaces[workspace]
	if !known {
		return
	}
	w.startTag += virtualCost(weight, actual) - virtualCost(weight, expected)
	q.dropIdle(w)
}

// Remove removes an item that is no longer wanted. It returns false if there is no such
// item.
func (q *Queue) Remove(id string) (Item, bool) {
	removed := q.RemoveIf(func(it Item) bool { return it.ID == id })
	if len(removed) == 0 {
		return Item{}, false
	}
	return removed[0], true
}

// RemoveIf removes the items that match and returns them in order of arrival. It calls
// match in order of workspace names, because the result of match may depend on the items
// that are left.
func (q *Queue) RemoveIf(match func(Item) bool) []Item {
	var removed []Item
	for _, w := range q.sortedByName() {
		for b := range w.items {
			kept := w.items[b][:0]
			for _, it := range w.items[b] {
				if !match(it) {
					kept = append(kept, it)
					continue
				}
				removed = append(removed, it)
				q.updateTotals(w, it, -1)
			}
			w.items[b] = kept
		}
		q.dropIdle(w)
	}
	sort.Slice(removed, func(i, j int) bool {
		if !removed[i].Arrived.Equal(removed[j].Arrived) {
			return removed[i].Arrived.Before(removed[j].Arrived)
		}
		return removed[i].ID < removed[j].ID
	})
	return removed
}

// sortedByName returns the workspaces in order of name.
func (q *Queue) sortedByName() []*workspaceQueue {
	queues := make([]*workspaceQueue, 0, len(q.workspaces))
	for _, w := range q.workspaces {
		queues = append(queues, w)
	}
	sort.Slice(queues, func(i, j int) bool { return queues[i].name < queues[j].name })
	return queues
}

// dropIdle deletes a workspace that has no waiting items and whose start tag is not ahead
// of the virtual time. One that is ahead is kept, as it has used more than its share.
func (q *Queue) dropIdle(w *workspaceQueue) {
	if w.empty() && w.startTag <= q.virtualTime {
		delete(q.workspaces, w.name)
	}
}

func (w *workspaceQueue) empty() bool {
	return len(w.items[Interactive]) == 0 && len(w.items[ByDeadline]) == 0 && len(w.items[MustFinish]) == 0
}

// virtualCost returns by how much an item of the given cost advances a start tag.
func virtualCost(weight, tokens int64) float64 {
	return float64(tokens) / float64(max(1, weight))
}
