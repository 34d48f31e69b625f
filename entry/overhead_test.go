package entry

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
)

// BenchmarkOverhead compares a call through the entry node with a direct call to the
// same engine, in one run: "go test -run xxx -bench Overhead ./entry".
func BenchmarkOverhead(b *testing.B) {
	config := fastEngine
	config.PrefillTokensPerSecond = 1_000_000_000
	f := newFixture(b, config)
	engineURL := "http://" + f.dispatcher.Tables().Plans[0].Upstreams[0].Address
	for _, target := range []struct{ name, url string }{{"direct", engineURL}, {"entry", f.url}} {
		b.Run(target.name, func(b *testing.B) {
			latencies := make([]time.Duration, 0, b.N)
			for b.Loop() {
				start := time.Now()
				callOnce(b, target.url)
				latencies = append(latencies, time.Since(start))
			}
			slices.Sort(latencies)
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(latencies[len(latencies)*95/100].Microseconds()), "p95-us")
		})
	}
}

// BenchmarkSaturated keeps one core busy with both sides of the call: "go test -run xxx
// -bench Saturated -cpu 1 ./entry". The difference of the two results is the entry
// node's CPU time per request.
func BenchmarkSaturated(b *testing.B) {
	config := fastEngine
	config.Slots = 4096
	config.KVTokens = 1 << 30
	config.PrefillTokensPerSecond = 1_000_000_000
	f := newFixture(b, config)
	engineURL := "http://" + f.dispatcher.Tables().Plans[0].Upstreams[0].Address
	for _, target := range []struct{ name, url string }{{"direct", engineURL}, {"entry", f.url}} {
		b.Run(target.name, func(b *testing.B) {
			b.SetParallelism(saturatingCalls)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					callOnce(b, target.url)
				}
			})
		})
	}
}

const saturatingCalls = 64

func callOnce(b *testing.B, url string) {
	b.Helper()
	body := chatBody("Which hollow?", 1, false)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("X-Attempt-ID", uuid.NewString())
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		b.Fatalf("status %d", response.StatusCode)
	}
}
