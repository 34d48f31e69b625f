package dispatch

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/wigeontiller/wigeontiller/scheduling"
)

// BenchmarkPlaceFinish places and finishes requests on all processors at one
// dispatcher; with 4 slots some of them queue.
func BenchmarkPlaceFinish(b *testing.B) {
	for _, slots := range []int{100_000, 4} {
		b.Run(fmt.Sprintf("slots=%d", slots), func(b *testing.B) {
			d, plan := newDispatcher(slots)
			var next atomic.Int64
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					request := newRequest(plan, fmt.Sprint(next.Add(1)))
					request.PromptTokens = 1
					placement, err := d.Place(b.Context(), request)
					if err != nil {
						b.Error(err)
						return
					}
					placement.FirstToken()
					placement.Finish(scheduling.Outcome{})
				}
			})
		})
	}
}
