package e2e

import (
	"fmt"
	"strings"
	"time"

	"cowsliptiller/ctl/load"
)

// timeline prints how many requests of each half second ended how, by when they
// were sent: it shows how long a fault was felt.
func timeline(outcomes []load.Outcome) string {
	const step = 500 * time.Millisecond
	var b strings.Builder
	counts := map[string]int{}
	var order []string
	at := time.Duration(0)
	flush := func() {
		fmt.Fprintf(&b, "%5.1fs", at.Seconds())
		for _, k := range order {
			fmt.Fprintf(&b, "  %s:%d", k, counts[k])
		}
		b.WriteString("\n")
		counts, order = map[string]int{}, nil
		at += step
	}
	for _, o := range outcomes {
		for o.Request.At >= at+step {
			flush()
		}
		k := strings.TrimSuffix(string(o.Result)+"/"+o.Kind, "/")
		if counts[k] == 0 {
			order = append(order, k)
		}
		counts[k]++
	}
	flush()
	return b.String()
}
