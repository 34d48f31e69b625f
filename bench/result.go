package bench

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeontiller/wigeontiller/bench/policy"
	"github.com/wigeontiller/wigeontiller/bench/workload"
	"github.com/wigeontiller/wigeontiller/scheduling"
)

// Quantiles are points of a distribution of times, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// LengthClass is the time to the first token of the admitted prompts of one length.
type LengthClass struct {
	// MaxPromptTokens is above the longest prompt of the class.
	MaxPromptTokens int       `json:"max_prompt_tokens"`
	FirstToken      Quantiles `json:"first_token"`
	// Refused, Failed and Completed count requests; Failed were admitted.
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Completed int `json:"completed"`
}

// Calls counts the calls with side effects.
type Calls struct {
	Admitted  int `json:"admitted"`
	Completed int `json:"completed"`
	Refused   int `json:"refused"`
}

// Result is what one run measured.
type Result struct {
	Policy   policy.Name   `json:"policy"`
	Scenario Scenario      `json:"scenario"`
	Requests int           `json:"requests"`
	Classes  []LengthClass `json:"classes"`
	// Short covers all prompts under 16,000 tokens.
	Short Quantiles `json:"short_first_token"`
	// Intervals is the time between tokens.
	Intervals Quantiles `json:"token_interval"`
	// EndedInTime is the share of admitted requests that ended by their deadline.
	EndedInTime float64 `json:"ended_in_time"`
	// DeadlineEnds counts those that the deadline cut off.
	DeadlineEnds int `json:"deadline_ends"`
	// Unplaceable counts the refusals because no engine can hold the prompt.
	Unplaceable int   `json:"unplaceable"`
	Calls       Calls `json:"side_effect_calls"`
	// UpstreamRefusals counts attempts that an upstream did not take.
	UpstreamRefusals int `json:"upstream_refusals"`
	// FellOver counts the cold starts broken by too much load.
	FellOver int `json:"fell_over"`
	// MemoryOverruns counts engines that held more than their memory.
	MemoryOverruns int `json:"memory_overruns"`
	// LastNewWork is how long after it was taken out the data centre still
	// received new work, in milliseconds.
	LastNewWork float64 `json:"last_new_work_ms"`
	// WorstReturn is the worst first token of a short prompt within
	// returnPeriod of the data centre's return, in milliseconds.
	WorstReturn float64 `json:"worst_first_token_in_return_ms"`
	// Breaches lists the invariants that did not hold.
	Breaches []string `json:"breaches,omitempty"`
	// Curve is the first-token time by prompt length.
	Curve []Point `json:"curve"`
	// Records holds every request, in the order of arrival.
	Records []*Record `json:"-"`
}

// Point is a length with the 95th percentile of the first-token time there.
type Point struct {
	PromptTokens int     `json:"prompt_tokens"`
	P95          float64 `json:"p95_ms"`
}

// returnPeriod is how long a returning data centre is looked at.
const returnPeriod = 30 * time.Second

// curvePoints is the number of points from the shortest to the longest prompt.
const curvePoints = 12

// classBounds are the upper ends of the length classes, in tokens.
func classBounds() []int {
	return []int{4_000, workload.ShortPromptTokens, workload.HugePromptTokens, workload.MaxPromptTokens + 1}
}

// Run runs one scenario.
func Run(config Config) (*Result, error) {
	running, err := newSite(config)
	if err != nil {
		return nil, err
	}
	running.run()
	return running.result(), nil
}

func (s *site) result() *Result {
	measured := &Result{
		Policy:           s.config.Policy,
		Scenario:         s.config.Scenario,
		Requests:         len(s.recorder.records),
		Intervals:        quantilesOf(s.recorder.intervals),
		UpstreamRefusals: s.recorder.upstreamRefusals,
		FellOver:         s.recorder.fellOver,
		MemoryOverruns:   s.recorder.overruns,
		LastNewWork:      milliseconds(s.recorder.lastNewWork),
		Breaches:         s.recorder.breaches,
		Records:          s.recorder.records,
	}
	measured.classify()
	measured.countEnds()
	measured.drawCurve()
	if s.config.Scenario == DataCentreOut {
		measured.findWorstReturn(s.config.backAt())
	}
	return measured
}

func (r *Result) classify() {
	low := 0
	short := newHistogram()
	for _, high := range classBounds() {
		class := LengthClass{MaxPromptTokens: high}
		times := newHistogram()
		for _, request := range r.Records {
			if request.Call || request.PromptTokens < low || request.PromptTokens >= high {
				continue
			}
			class.count(request)
			if !request.Admitted || request.End == CallerLeft && !request.HasToken {
				continue
			}
			record(times, request.measuredFirstToken())
			if request.IsShort() {
				record(short, request.measuredFirstToken())
			}
		}
		class.FirstToken = quantilesOf(times)
		r.Classes = append(r.Classes, class)
		low = high
	}
	r.Short = quantilesOf(short)
}

func (c *LengthClass) count(request *Record) {
	switch request.End {
	case Completed:
		c.Completed++
	case RefusedAtOnce:
		c.Refused++
	case Failed, EndedByDeadline:
		c.Failed++
	}
}

func (r *Result) countEnds() {
	admitted, inTime := 0, 0
	for _, request := range r.Records {
		if request.Call {
			r.Calls.count(request)
		}
		if request.End == EndedByDeadline {
			r.DeadlineEnds++
		}
		if request.End == RefusedAtOnce && request.Reason == scheduling.NoUpstream {
			r.Unplaceable++
		}
		if !request.Admitted {
			continue
		}
		admitted++
		if request.End != "" && request.Ended-request.Arrived <= request.Deadline {
			inTime++
		}
	}
	r.EndedInTime = float64(inTime) / float64(max(1, admitted))
}

func (c *Calls) count(request *Record) {
	if !request.Admitted {
		c.Refused++
		return
	}
	c.Admitted++
	if request.End == Completed {
		c.Completed++
	}
}

func (r *Result) drawCurve() {
	ratio := float64(workload.MaxPromptTokens) / workload.MinPromptTokens
	for i := range curvePoints {
		low := workload.MinPromptTokens * math.Pow(ratio, float64(i)/curvePoints)
		high := workload.MinPromptTokens * math.Pow(ratio, float64(i+1)/curvePoints)
		times := newHistogram()
		for _, request := range r.Records {
			tokens := float64(request.PromptTokens)
			if request.Admitted && !request.Call && tokens >= low && tokens < high {
				record(times, request.measuredFirstToken())
			}
		}
		if times.TotalCount() > 0 {
			r.Curve = append(r.Curve, Point{
				PromptTokens: int(math.Sqrt(low * high)),
				P95:          quantilesOf(times).P95,
			})
		}
	}
}

func (r *Result) findWorstReturn(back time.Duration) {
	for _, request := range r.Records {
		inReturn := request.Arrived >= back && request.Arrived < back+returnPeriod
		if inReturn && request.IsShort() && request.Admitted {
			r.WorstReturn = max(r.WorstReturn, milliseconds(request.measuredFirstToken()))
		}
	}
}

func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	return Quantiles{
		Count: histogram.TotalCount(),
		P50:   milliseconds(quantile(histogram, 50)),
		P95:   milliseconds(quantile(histogram, 95)),
		P99:   milliseconds(quantile(histogram, 99)),
	}
}

func milliseconds(value time.Duration) float64 {
	return float64(value.Microseconds()) / 1000
}
