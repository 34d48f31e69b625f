package scheduling

import (
	"fmt"
	"testing"
	"time"
)

// maxAllocations bounds the allocations of one Submit and Finish, whatever the
// number of upstreams and organisations.
const maxAllocations = 20

// steadyLoad submits a request and finishes the oldest one at each step.
type steadyLoad struct {
	*fixture
	placed  []string
	oldest  int
	request int
}

func newSteadyLoad(t testing.TB, upstreams, organisations int) *steadyLoad {
	f := newFixture(t, upstreams, organisations)
	f.configure()
	f.SetPosition(0, 2) // half of the upstreams are preferred
	c := &steadyLoad{fixture: f, placed: make([]string, 2*upstreams)}
	for range len(c.placed) {
		c.submitAndFinish()
	}
	return c
}

func (c *steadyLoad) submitAndFinish() {
	c.request++
	c.now = c.now.Add(time.Millisecond)
	request := c.fixture.request(c.request%len(c.document.Organisations), 1000)
	if decision := c.Submit(c.now, request); decision.Kind != Placed {
		c.t.Fatalf("request not placed: %+v", decision)
	}
	if last := c.placed[c.oldest]; last != "" {
		c.Finish(c.now, last, Outcome{PromptTokens: 1000, AnswerTokens: 100})
	}
	c.placed[c.oldest] = request.ID
	c.oldest = (c.oldest + 1) % len(c.placed)
}

func TestAllocationsDoNotGrowWithUpstreamsAndOrganisations(t *testing.T) {
	for _, size := range [][2]int{{10, 10}, {1000, 400}, {10_000, 4000}} {
		c := newSteadyLoad(t, size[0], size[1])
		allocations := testing.AllocsPerRun(500, c.submitAndFinish)
		t.Logf("%d upstreams, %d organisations: %.0f allocations", size[0], size[1], allocations)
		c.is.True(allocations <= maxAllocations)
	}
}

func BenchmarkSubmitFinish(b *testing.B) {
	for _, upstreams := range []int{10, 100, 1000, 10_000} {
		for _, organisations := range []int{10, 400, 4000} {
			b.Run(fmt.Sprintf("upstreams=%d/organisations=%d", upstreams, organisations), func(b *testing.B) {
				c := newSteadyLoad(b, upstreams, organisations)
				b.ReportAllocs()
				for b.Loop() {
					c.submitAndFinish()
				}
			})
		}
	}
}

// BenchmarkAdvanceQueued measures a round in which 1,000 requests wait for a full
// pool and none can start.
func BenchmarkAdvanceQueued(b *testing.B) {
	f := newFixture(b, 1000, 400)
	f.configure()
	f.fillSlots()
	for i := range 1000 {
		request := f.request(i%400, 1000)
		request.Deadline = f.now.Add(time.Hour)
		f.Submit(f.now, request)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Advance(f.now)
	}
}

// BenchmarkAdvanceMemoryFull measures a round in which all upstreams have free
// slots, but no memory for the 1,000 long prompts that wait.
func BenchmarkAdvanceMemoryFull(b *testing.B) {
	f := newFixture(b, 1000, 400)
	f.document.Reserve.LongPrefillPerDataCentre = 0
	f.configure()
	for range 1000 {
		f.Submit(f.now, f.request(0, 390_000))
	}
	for i := range 1000 {
		request := f.request(i%400, 300_000)
		request.Deadline = f.now.Add(time.Hour)
		f.Submit(f.now, request)
	}
	b.ReportAllocs()
	for b.Loop() {
		f.Advance(f.now)
	}
}
