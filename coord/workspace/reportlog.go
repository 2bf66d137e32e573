package workspace

// maxReports bounds the log. Beyond it, every second entry of the older half is dropped. The
// first entry is always kept.
const maxReports = 64

// reportLog maps the sequence of a holder's Draw to the bucket step at which its charges
// were applied.
type reportLog struct {
	entries []report
}

type report struct {
	sequence uint64
	step     int64
}

func (l *reportLog) add(sequence uint64, step int64) {
	l.entries = append(l.entries, report{sequence, step})
	if len(l.entries) <= maxReports {
		return
	}
	kept := l.entries[:0]
	for i, e := range l.entries {
		if i >= maxReports/2 || i%2 == 0 {
			kept = append(kept, e)
		}
	}
	l.entries = kept
}

// step returns the step of the newest entry that is not after sequence. If a newer one was
// dropped, the earlier step can only make the refund smaller. It returns false for a sequence
// before the first entry: this owner has not applied its charge.
func (l *reportLog) step(sequence uint64) (int64, bool) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].sequence <= sequence {
			return l.entries[i].step, true
		}
	}
	return 0, false
}
