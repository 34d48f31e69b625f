package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/scheduling"
)

// EndKind says how a request ended.
type EndKind string

// The kinds of end.
const (
	Completed       EndKind = "completed"
	RefusedAtOnce   EndKind = "refused"
	Failed          EndKind = "failed"
	EndedByDeadline EndKind = "deadline"
	CallerLeft      EndKind = "left"
)

// Record is what became of one request. Times are from the start of the run.
type Record struct {
	*workload.Request
	Arrived  time.Duration
	Deadline time.Duration
	Admitted bool
	// Placed and Upstream are those of the last attempt.
	Placed   time.Duration
	Upstream string
	Attempts int
	HasToken bool
	// FirstToken is from the arrival to the first token at the caller.
	FirstToken time.Duration
	End        EndKind
	// CachedTokens is what the engine of a completed prompt had in its cache.
	CachedTokens int
	// Reason is set when the request was refused or failed in the queue.
	Reason scheduling.RefusalReason
	Ended  time.Duration
}

// measuredFirstToken is the first token's time, or the deadline without one.
func (r *Record) measuredFirstToken() time.Duration {
	if r.HasToken {
		return r.FirstToken
	}
	return r.Deadline
}

// recorder collects what one run measures.
type recorder struct {
	records          []*Record
	intervals        *hdrhistogram.Histogram
	lastNewWork      time.Duration
	upstreamRefusals int
	fellOver         int
	overruns         int
	breaches         []string
}

const (
	// The range of the histograms, in microseconds, and their digits.
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func newRecorder() *recorder {
	return &recorder{intervals: newHistogram()}
}

func (r *recorder) add(arrival *workload.Request, now time.Duration) *Record {
	added := &Record{Request: arrival, Arrived: now}
	r.records = append(r.records, added)
	return added
}

func (r *recorder) interval(interval time.Duration) {
	record(r.intervals, interval)
}

func record(histogram *hdrhistogram.Histogram, value time.Duration) {
	_ = histogram.RecordValue(max(1, value.Microseconds()))
}

func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}
