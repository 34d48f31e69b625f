package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// loadInterval is the pause between two calls of one caller.
	loadInterval = 50 * time.Millisecond
	// callTimeout bounds one call of the load; a call that exceeds it has failed.
	callTimeout = 20 * time.Second
)

// load is a steady flow of calls to some nodes. One caller per node alternates
// between a short completion and a read from a service.
type load struct {
	stopped atomic.Bool
	group   sync.WaitGroup
	mutex   sync.Mutex
	calls   int
	failed  []string
}

func startLoad(t *testing.T, nodes ...*node) *load {
	t.Helper()
	l := new(load)
	for _, n := range nodes {
		l.group.Go(func() { l.run(n) })
	}
	t.Cleanup(func() { l.stopped.Store(true); l.group.Wait() })
	return l
}

func (l *load) run(n *node) {
	for number := 0; !l.stopped.Load(); number++ {
		l.callOnce(n, number)
		time.Sleep(loadInterval)
	}
}

func (l *load) callOnce(n *node, number int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	method, path, body, end := http.MethodGet, "/services/bookings/slots", "", "}"
	if number%2 == 0 {
		method, path, end = http.MethodPost, "/v1/chat/completions", "data: [DONE]\n\n"
		body = fmt.Sprintf(`{"model":"adviser","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"call %d"}]}`, number)
	}
	got := call(ctx, method, "http://"+n.callerAddress+path, body, nil)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.calls++
	if got.err != nil || got.status != http.StatusOK || !strings.HasSuffix(got.body, end) {
		l.failed = append(l.failed, fmt.Sprintf("%s %s: %d %v %s", n.callerAddress, path, got.status, got.err, got.body))
	}
}

// stopAndVerify stops the load. It fails the test if a call failed or none was made.
func (l *load) stopAndVerify(t *testing.T) {
	t.Helper()
	l.stopped.Store(true)
	l.group.Wait()
	t.Logf("%d calls, %d failed", l.calls, len(l.failed))
	if l.calls == 0 || len(l.failed) > 0 {
		t.Errorf("%d calls, %d failed: %v", l.calls, len(l.failed), l.failed)
	}
}

// runCount returns how many requests the engine and the service of a data centre ran.
func (s *deployment) runCount(t *testing.T, dataCentre int) int {
	t.Helper()
	var engine struct {
		Runs int `json:"runs"`
	}
	decode(t, "http://"+s.engines[dataCentre]+"/v1/load", &engine)
	total := engine.Runs
	counts := map[string]int{}
	decode(t, "http://"+s.services[dataCentre]+"/counts", &counts)
	for _, count := range counts {
		total += count
	}
	return total
}

func decode(t *testing.T, url string, target any) {
	t.Helper()
	got := call(context.Background(), http.MethodGet, url, "", nil)
	if err := json.Unmarshal([]byte(got.body), target); err != nil {
		t.Fatalf("%s: %v %+v", url, err, got)
	}
}
