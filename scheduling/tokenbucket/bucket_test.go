package tokenbucket

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestAllowReturnsExactDelay(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	bucket := &Bucket{}
	bucket.SetRate(now, 100)
	allowed, _ := bucket.Allow(now)
	is.True(allowed)
	bucket.Charge(1000)
	allowed, after := bucket.Allow(now)
	is.True(!allowed)
	early, _ := bucket.Allow(now.Add(after - 20*time.Millisecond))
	is.True(!early)
	late, _ := bucket.Allow(now.Add(after + time.Millisecond))
	is.True(late)
}

func TestChargesFollowTheRateOverTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	bucket := &Bucket{}
	bucket.SetRate(now, 100)
	spent := 0.0
	for range 10000 {
		now = now.Add(10 * time.Millisecond)
		if allowed, _ := bucket.Allow(now); allowed {
			bucket.Charge(50)
			spent += 50
		}
	}
	is.True(spent <= 100*100+200+50) // rate, burst and one request
	is.True(spent >= 100*100)
}

func TestBucketWithoutRateHasNoLimit(t *testing.T) {
	bucket := &Bucket{}
	bucket.Charge(1e9)
	allowed, _ := bucket.Allow(time.Unix(1, 0))
	is.New(t).True(allowed)
}
