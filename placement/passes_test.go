package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// near reports whether two times in ms are equal but for rounding.
func near(a, b float64) bool { return math.Abs(a-b) < 0.01 }

func TestAnIdleEngineReadsAtOnce(t *testing.T) {
	is := is.New(t)
	var p passes
	idle := pass{baseMs: 44, pace: 1}
	is.True(near(p.after(0, 30, idle), 30))
	p.add(100*ms, 30, idle)
	is.True(near(p.unread(100*ms, idle), 30))
	p.roll(120*ms, idle)
	is.True(near(p.unread(120*ms, idle), 10))
	p.roll(131*ms, idle)
	is.True(near(p.unread(131*ms, idle), 0))
}

func TestPartsOfOnePassAreReadInTheNext(t *testing.T) {
	is := is.New(t)
	writing := pass{baseMs: 40, pace: 1, writes: true}
	p := passes{end: 40 * ms}
	p.add(10*ms, 60, writing)
	p.add(30*ms, 80, writing)
	is.True(near(p.after(30*ms, 20, writing), 10+40+60+80+20))
	p.roll(41*ms, writing) // the next one, until 40 + 40 + 140
	p.add(50*ms, 100, writing)
	is.True(near(p.after(50*ms, 0, writing), 170+40+100))
	is.True(near(p.unread(50*ms, writing), 240))
	p.roll(221*ms, writing)
	is.Equal(p.pendingMs, 0.0)
	is.True(near(p.unread(221*ms, writing), 100))
}

func TestASlowEngineTakesLonger(t *testing.T) {
	is := is.New(t)
	slow := pass{baseMs: 40, pace: 3, writes: true}
	p := passes{end: 3 * 40 * ms}
	p.add(0, 10, slow)
	is.True(near(p.after(0, 0, slow), 3*(40+40+10)))
}

func TestReadingThatIsTakenBackFreesThePass(t *testing.T) {
	is := is.New(t)
	writing := pass{baseMs: 40, pace: 1, writes: true}
	p := passes{end: 40 * ms}
	p.add(0, 100, writing)
	p.roll(50*ms, writing)
	p.add(50*ms, 30, writing)
	p.add(50*ms, -60, writing) // 30 that wait, 30 of what is being read
	is.Equal(p.pendingMs, 0.0)
	is.Equal(p.end, 150*ms)
}

func TestAFirstEventTellsWhatIsRead(t *testing.T) {
	is := is.New(t)
	writing := pass{baseMs: 40, pace: 1, writes: true}
	p := passes{end: 40 * ms}
	p.add(0, 300, writing)
	p.readBut(50*ms, 20, writing) // earlier than thought: a pass ended now
	is.True(near(p.after(50*ms, 0, writing), 60+40))
	p.readBut(51*ms, 500, writing) // more than is known of changes nothing
	is.True(near(p.after(51*ms, 0, writing), 59+40))
}

// Whatever comes, the time that is left is never negative and what was booked is read
// in the end.
func TestPassesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p passes
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "later")) * ms
			next := pass{
				baseMs: rapid.Float64Range(0, 90).Draw(t, "base"), pace: rapid.Float64Range(1, 5).Draw(t, "pace"),
				writes: rapid.Bool().Draw(t, "writes"),
			}
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				p.add(now, rapid.Float64Range(-300, 300).Draw(t, "ms"), next)
			case 1:
				p.readBut(now, rapid.Float64Range(0, 300).Draw(t, "left"), next)
			case 2:
				p.roll(now, next)
			}
			if p.pendingMs < 0 || p.readingMs < -1e-6 || p.unread(now, next) < 0 || p.after(now, 0, next) < 0 || p.end < now {
				t.Fatalf("at %v: %+v", now, p)
			}
		}
		p.roll(now+time.Hour, pass{baseMs: 40, pace: 1, writes: true})
		if p.pendingMs != 0 || p.readingMs != 0 {
			t.Fatalf("never read: %+v", p)
		}
	})
}
