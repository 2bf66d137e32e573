package board_test

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/targetstatus"
	"cowsliptiller/server/board"
)

var _ = Describe("the platform's list at the leader", func() {
	// Guards against a list that cannot be read, or entries that are skipped, without an operator seeing it.
	It("is counted and logged while it cannot be read, and the table keeps what it has", func() {
		var log strings.Builder
		now := time.Unix(1000, 0)
		results := make(chan error)
		opened := make(chan struct{})
		b := board.New(board.Config{
			Leading:    func() (uint64, bool) { return 1, true },
			Deployment: func() *coordpb.Deployment { return nil },
			List: func(ctx context.Context) ([]targetstatus.Status, int, error) {
				opened <- struct{}{}
				select {
				case err := <-results:
					return []targetstatus.Status{{Instance: "i-1", Service: "s"}}, 2, err
				case <-ctx.Done():
					return nil, 0, ctx.Err()
				}
			},
			Evacuations: func() []*coordpb.Evacuation { return nil },
			Now:         func() time.Time { return now }, Log: hclog.New(&hclog.LoggerOptions{Output: &log}),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		DeferCleanup(func() {
			cancel()
			<-done
		})
		go func() {
			defer close(done)
			b.Run(ctx)
		}()
		for _, err := range []error{nil, errors.New("no JSON"), errors.New("no JSON")} {
			<-opened
			results <- err
		}
		<-opened // the reads before are recorded
		registry := prometheus.NewPedanticRegistry()
		registry.MustRegister(board.ListCollector{Board: b})
		Expect(testutil.GatherAndCompare(registry, strings.NewReader(`
# HELP cowslip_board_list_reads_failed_total Reads of the platform's list that failed.
# TYPE cowslip_board_list_reads_failed_total counter
cowslip_board_list_reads_failed_total 2
# HELP cowslip_board_list_skipped_entries Entries of the platform's list that name no target, in the last list that was read.
# TYPE cowslip_board_list_skipped_entries gauge
cowslip_board_list_skipped_entries 2
# HELP cowslip_board_list_age_seconds Time since the platform's list was last read; absent before the first read of a term.
# TYPE cowslip_board_list_age_seconds gauge
cowslip_board_list_age_seconds 0
`), "cowslip_board_list_reads_failed_total", "cowslip_board_list_skipped_entries", "cowslip_board_list_age_seconds")).To(Succeed())
		Expect(strings.Count(log.String(), "dependency_lost")).To(Equal(1))
		Expect(strings.Count(log.String(), "list_entries_skipped")).To(Equal(1))
	})
})
