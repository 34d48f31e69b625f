package exchange

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/memorybudget"
)

// A copy of all that came before, each 16 KiB, outlasted the caller's time.
func TestLongBodyIsCopiedAFewTimes(t *testing.T) {
	is := is.New(t)
	const size, limit = 7 << 20, 8 << 20
	budget := memorybudget.New(4 * limit)
	result := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			reservation := budget.Open(memorybudget.Answers)
			data, err := readAnswer(io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size), limit, reservation)
			if err != nil || len(data) != size {
				b.Errorf("%d bytes, %v", len(data), err)
			}
			reservation.Release()
		}
	})
	const allowed = 8
	if got := result.AllocedBytesPerOp(); got > allowed*size {
		t.Errorf("%d bytes were allocated for a body of %d, want at most %d times as many", got, size, allowed)
	}
	is.Equal(budget.State().Held, int64(0)) // all is given back
}

// Memory is taken before it is filled, also in long steps.
func TestBodiesTogetherStayWithinTheirMemory(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	budget := memorybudget.New(limit)
	first, second := budget.Open(memorybudget.Answers), budget.Open(memorybudget.Answers)
	_, err := readAnswer(strings.NewReader(strings.Repeat("x", limit/4)), limit, first)
	is.NoErr(err)
	_, err = readAnswer(strings.NewReader(strings.Repeat("x", limit)), limit, second)
	is.Equal(err, errNoBuffer)
	is.True(budget.State().Peak <= limit)
	second.Release()
	first.Release()
	is.Equal(budget.State().Held, int64(0))
}
