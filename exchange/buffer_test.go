package exchange

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// A long body was copied for each 16 KiB of it: 7 MiB took 1.6 GB of copies, and requests ran out of time.
func TestLongBodyIsCopiedAFewTimes(t *testing.T) {
	is := is.New(t)
	const size, limit = 7 << 20, 8 << 20
	memory := newBufferMemory(2 * limit)
	result := testing.Benchmark(func(b *testing.B) {
		for range b.N {
			data, release, err := memory.read(io.LimitReader(strings.NewReader(strings.Repeat("x", size)), size), limit)
			if err != nil || len(data) != size {
				b.Errorf("%d bytes, %v", len(data), err)
			}
			release()
		}
	})
	const allowed = 8
	if got := result.AllocedBytesPerOp(); got > allowed*size {
		t.Errorf("%d bytes were allocated for a body of %d, want at most %d times as many", got, size, allowed)
	}
	is.Equal(memory.left.Load(), int64(2*limit)) // all is given back
}

// Memory is taken before it is filled, also in long steps.
func TestBodiesTogetherStayWithinTheirMemory(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	memory := newBufferMemory(limit)
	_, releaseFirst, err := memory.read(strings.NewReader(strings.Repeat("x", limit/2)), limit)
	is.NoErr(err)
	_, releaseSecond, err := memory.read(strings.NewReader(strings.Repeat("x", limit)), limit)
	is.Equal(err, errNoBuffer)
	is.True(memory.left.Load() >= 0)
	releaseSecond()
	releaseFirst()
	is.Equal(memory.left.Load(), int64(limit))
}
