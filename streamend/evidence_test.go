package streamend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const service = "llm"

func trust(e *Evidence, now time.Duration) (begins int) {
	for range confirmationsToTrust {
		if e.Confirm(now, service) {
			begins++
		}
	}
	return begins
}

// A service whose upstreams always frame by closing must not need a second run for each stream for good.
func TestServiceThatEndsStreamsByClosingIsTrustedAfterConfirmations(t *testing.T) {
	is := is.New(t)
	e := New()
	for range confirmationsToTrust - 1 {
		is.True(!e.Confirm(time.Second, service))
		is.True(!e.Rely(time.Second, service))
	}
	is.True(e.Confirm(time.Second, service))
	is.True(e.Trusted(time.Second, service))
	is.True(!e.Trusted(time.Second, "another"))
	relied := 0
	for range 10 * verifyEvery {
		if e.Rely(time.Second, service) {
			relied++
		}
	}
	is.Equal(relied, 10*(verifyEvery-1))
}

// One stream that was cut must end the trust at once.
func TestContradictedEndEndsTrust(t *testing.T) {
	is := is.New(t)
	e := New()
	is.Equal(trust(e, time.Second), 1)
	is.True(e.Contradict(2*time.Second, service))
	is.True(!e.Trusted(2*time.Second, service))
	is.True(!e.Contradict(3*time.Second, service))
	is.Equal(trust(e, 4*time.Second), 1)
}

// A service that was replaced since must not be trusted for what it did long ago.
func TestTrustLapsesWithoutConfirmations(t *testing.T) {
	is := is.New(t)
	e := New()
	trust(e, time.Second)
	is.True(e.Trusted(time.Second+trustTTL, service))
	is.True(!e.Trusted(2*time.Second+trustTTL, service))
	is.True(!e.Confirm(2*time.Second+trustTTL, service))
	is.True(!e.Trusted(2*time.Second+trustTTL, service))
}

// Services that truncate responses by closing must not become trusted: one in four ends is contradicted, as in the
// soak of faulty upstreams.
func TestServiceThatTruncatesStreamsIsNotTrusted(t *testing.T) {
	for seed := range uint64(200) {
		e, random := New(), rand.New(rand.NewPCG(seed, 1))
		for n := range 2000 {
			now := time.Duration(n) * time.Second / 10
			if random.Float64() < 0.25 {
				e.Contradict(now, service)
			} else {
				e.Confirm(now, service)
			}
			if e.Rely(now, service) {
				t.Fatalf("seed %d: trusted after %d ends", seed, n)
			}
		}
	}
}

func TestServicesThatAreRememberedAreBounded(t *testing.T) {
	is := is.New(t)
	e := New()
	for n := range 2 * maxServices {
		e.Confirm(time.Second, fmt.Sprint(n))
	}
	is.Equal(len(e.services), maxServices)
	is.Equal(trust(e, time.Second), 0)
	is.Equal(trust(e, 2*time.Second+trustTTL), 1)
	is.Equal(len(e.services), 1)
}
