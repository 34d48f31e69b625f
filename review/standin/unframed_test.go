//go:build review

package standin

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["unframed"] = unframed }

const (
	// unframedWorkers of the workers have answers without a length: the share .5 that is usual for garble.
	streamWorkers, unframedWorkers = 4, 2
	// unframedPercent of their answers have none: the largest x of the site's days.
	unframedPercent = 5
	streamClients   = 12
	streamTime      = 20 * time.Second
	streamEvents    = 8
	// allowedLosses is the number of the rule LOST.
	allowedLosses = 3
)

// unframed sends streams of a route without streamResume. Some answers have no length and end with their
// connection, which the worker closes in the usual way after the last event.
func unframed(p *platform) (bool, error) {
	r := p.record
	p.store.Put("op", "config", map[string]any{
		"version": 1, "limits": limits,
		// The route has no streamResume.
		"routes":   []any{route("draft", "streaming", "llm", 10000, 300, 2)},
		"services": []any{engineService("llm")},
		"tenants":  []any{map[string]any{"name": "works", "apiKeys": []string{"key1"}}},
	})
	var workers []*worker
	for i := range streamWorkers {
		w, err := p.addWorker(fmt.Sprintf("i-%d", i), "llm", "a", 16, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		mayBeUnframed := trouble && i < unframedWorkers
		w.answer = func(w *worker, writer http.ResponseWriter, request *http.Request) bool {
			return w.stream(writer, request, mayBeUnframed && isDrawn(request.Header.Get("X-Attempt-Id")))
		}
		workers = append(workers, w)
	}
	var nodes []*node
	for _, zone := range []string{"a", "b"} {
		n, err := p.addNode(zone)
		if err != nil {
			return false, err
		}
		nodes = append(nodes, n)
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	sent, complete, lost := 0, 0, 0
	for i := range streamClients {
		group.Go(func() {
			c := newClient(nodes[i%len(nodes)], "key1")
			for end := time.Now().Add(streamTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				got := c.send(http.MethodPost, "/draft/x", []byte("prompt"), 10*time.Second, map[string]string{
					"X-Model": "m", "X-Token-Usage": "5000,320", "X-Prefix-Hash": "5eed:40," + fmt.Sprintf("%x", i) + ":4960",
				})
				ran := ran(workers, got.id)
				isComplete := got.err == nil && got.status == http.StatusOK && bytes.Equal(got.body, []byte(wholeStream()))
				isLost := got.kept && ran.count == 1 && ran.whole && got.err != nil
				mutex.Lock()
				sent++
				if isComplete {
					complete++
				}
				if isLost {
					lost++
				}
				mutex.Unlock()
				r.line("%s to %s: status %d, %d bytes, error %v, kept connection %v; runs %d, written whole %v, without a length %v",
					got.id, c.to.name, got.status, len(got.body), got.err, got.kept, ran.count, ran.whole, ran.unframed)
			}
		})
	}
	group.Wait()
	r.line("%d streams sent, %d complete; %d were passed on from a kept connection to a worker that answered whole, and were closed without a whole answer; %d are allowed",
		sent, complete, lost, allowedLosses)
	if sent == 0 || !trouble && complete < sent {
		return true, nil
	}
	return lost > allowedLosses, p.checkRunning()
}

// isDrawn draws the answers without a length by the attempt.
func isDrawn(id string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()%100 < unframedPercent
}

func wholeStream() string {
	var text strings.Builder
	for number := range streamEvents {
		text.WriteString(event(number + 1))
	}
	return text.String()
}

// event is one event of a stream.
func event(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

// stream writes a stream, in chunks or without a length. The latter ends with the connection.
func (w *worker) stream(writer http.ResponseWriter, r *http.Request, withoutLength bool) bool {
	id := r.Header.Get("X-Attempt-Id")
	writer.Header().Set("Content-Type", "text/event-stream")
	if withoutLength {
		// net/http then writes no length and closes the connection after the answer.
		writer.Header().Set("Transfer-Encoding", "identity")
	}
	control := http.NewResponseController(writer)
	for number := range streamEvents {
		time.Sleep(15 * time.Millisecond)
		if _, err := writer.Write([]byte(event(number + 1))); err != nil || control.Flush() != nil {
			return false
		}
	}
	w.end(id, true, withoutLength)
	return true
}
