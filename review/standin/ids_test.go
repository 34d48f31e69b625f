//go:build review

package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["ids"] = ids }

const (
	// soundClients send the site's kinds of requests, clientsWithoutID orders without an id: three tenths of all
	// clients.
	soundClients, clientsWithoutID = 56, 24
	idsTime                        = 60 * time.Second
	// withoutIDStart and withoutIDTime say when orders without an id are sent.
	withoutIDStart, withoutIDTime = 2 * time.Second, 10 * time.Second
	withoutIDInterval             = 700 * time.Millisecond
	// starvedShare is the share of the rule: a quarter.
	starvedShare = 0.25
)

// tally counts the requests of one kind that sound clients sent.
type tally struct{ sent, served, late, lateServed int }

// ids sends drafts and orders to two nodes. For ten seconds, some clients send orders without X-Attempt-Id, which
// the workers answer with 400 and X-Not-Executed.
func ids(p *platform) (bool, error) {
	p.store.Put("op", "config", map[string]any{
		"version": 1, "limits": limits,
		"routes": []any{
			route("draft", "streaming", "llm", 10000, 300, 2), route("order", "unsafe", "orders-app", 10000, 120, 1),
		},
		"services": []any{engineService("llm"), plainService("orders-app")},
		"tenants":  []any{map[string]any{"name": "works", "apiKeys": []string{"key1"}}, map[string]any{"name": "quay", "apiKeys": []string{"key2"}}},
	})
	for i := range 3 {
		if _, err := p.addWorker(fmt.Sprintf("o-%d", i), "orders-app", "a", 6, 15*time.Millisecond); err != nil {
			return false, err
		}
		w, err := p.addWorker(fmt.Sprintf("l-%d", i), "llm", "a", 16, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.answer = func(w *worker, writer http.ResponseWriter, r *http.Request) bool { return w.stream(writer, r, false) }
	}
	for _, zone := range []string{"a", "b"} {
		if _, err := p.addNode(zone); err != nil {
			return false, err
		}
	}
	started := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	tallies := map[string]*tally{"draft": {}, "order": {}}
	for i := range soundClients {
		kind := []string{"draft", "order"}[i%2]
		group.Go(func() {
			c := newClient(p.nodes[i/2%2], "key1")
			for time.Since(started) < idsTime {
				at := time.Since(started)
				got := c.sendKind(kind, nil)
				mutex.Lock()
				tallies[kind].add(got, at > withoutIDStart+withoutIDTime+recovery)
				mutex.Unlock()
				p.record.line("%s %s to %s: status %d, error %v", kind, got.id, c.to.name, got.status, got.err)
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	// All send to the first node.
	for range clientsWithoutID {
		group.Go(func() {
			c := newClient(p.nodes[0], "key2")
			time.Sleep(withoutIDStart)
			for time.Since(started) < withoutIDStart+withoutIDTime {
				headers := map[string]string{}
				if trouble {
					headers["X-Attempt-Id"] = ""
				}
				got := c.sendKind("order", headers)
				p.record.line("order without an id %v to %s: status %d, error %v", trouble, c.to.name, got.status, got.err)
				// The next one comes at the same moment as those of the other clients.
				time.Sleep(withoutIDInterval - time.Since(started)%withoutIDInterval)
			}
		})
	}
	group.Wait()
	return p.judgeStarved(tallies), p.checkRunning()
}

// recovery is recoveryS of the site.
const recovery = 12 * time.Second

// judgeStarved judges the rule Starved by the requests of the sound clients.
func (p *platform) judgeStarved(tallies map[string]*tally) bool {
	var all tally
	for _, t := range tallies {
		all.sent, all.served = all.sent+t.sent, all.served+t.served
	}
	starved := false
	for kind, t := range tallies {
		share, allShare := float64(t.served)/float64(max(1, t.sent)), float64(all.served)/float64(max(1, all.sent))
		p.record.line("%s of sound clients: %d of %d served, %.3f; all requests %.3f; from %v after the last request without an id: %d of %d",
			kind, t.served, t.sent, share, allShare, recovery, t.lateServed, t.late)
		starved = starved || share < starvedShare*allShare
	}
	return starved || all.served == 0
}

func (t *tally) add(got result, late bool) {
	served := got.err == nil && got.status == http.StatusOK
	t.sent++
	if served {
		t.served++
	}
	if late {
		t.late++
		if served {
			t.lateServed++
		}
	}
}

// sendKind sends a request of a kind, with its usual deadline.
func (c *client) sendKind(kind string, headers map[string]string) result {
	if kind == "order" {
		return c.send(http.MethodPost, "/order/x", []byte("order"), 600*time.Millisecond, headers)
	}
	return c.send(http.MethodPost, "/draft/x", []byte("prompt"), 10*time.Second, map[string]string{
		"X-Model": "m", "X-Token-Usage": "5000,320", "X-Prefix-Hash": "5eed:40,77:4960",
	})
}
