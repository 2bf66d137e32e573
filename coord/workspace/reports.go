package workspace

// maxReports bounds the log; beyond it, every second old entry goes, never the first.
const maxReports = 64

// reportLog maps the sequence of a holder's message to the bucket's step at which
// what it reported was booked.
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

// step returns the step of the newest entry that is not after sequence: an earlier
// step never makes a refund larger. It reports false for a sequence before the
// first entry, whose charge was not booked by this owner.
func (l *reportLog) step(sequence uint64) (int64, bool) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].sequence <= sequence {
			return l.entries[i].step, true
		}
	}
	return 0, false
}
