//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["replaced"] = replaced }

const (
	// replacedMachines were removed for good, one after the other in each of replacedLanes.
	replacedMachines, replacedLanes = 1500, 8
	// addedTime is the most time that such a machine is there.
	addedTime = 300 * time.Millisecond
	// beforeFault is the length of the load before the final fault, afterFault that of the load after it.
	beforeFault, afterFault = 8 * time.Second, 32 * time.Second
)

// replaced starts four nodes, replaces machines beside them, and then kills all processes at once.
func replaced(p *platform) (bool, error) {
	p.store.Put("op", "config", map[string]any{
		"version": 1, "limits": limits, "routes": []any{route("order", "unsafe", "orders-app", 10000, 120, 1)},
		"services": []any{plainService("orders-app")},
		"tenants":  []any{map[string]any{"name": "works", "apiKeys": []string{"key1"}}},
	})
	for i := range 3 {
		if _, err := p.addWorker(fmt.Sprintf("o-%d", i), "orders-app", "a", 6, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"a", "b", "a", "b"} {
		if _, err := p.addNode(zone); err != nil {
			return false, err
		}
	}
	if err := p.replaceMachines(replacedMachines); err != nil {
		return false, err
	}
	sent, served := p.orders(beforeFault, 0)
	p.record.line("before the final fault: %d orders sent, %d served", sent, served)
	if trouble {
		for _, n := range p.nodes {
			n.kill(false)
		}
		p.record.line("all processes were killed")
		for _, n := range p.nodes {
			if err := p.run(n); err != nil {
				return false, err
			}
		}
	}
	lateSent, lateServed := p.orders(afterFault, recovery)
	p.record.line("later than %v after the machines were back: %d orders sent, %d served; a quarter is the least", recovery, lateSent, lateServed)
	for _, n := range p.nodes {
		p.record.line("%s: ready %v; its log has %d requests that were refused for the age of its view", n.name, n.isReady(), strings.Count(p.log(n), "beliefs_too_old"))
	}
	return 4*served >= sent && 4*lateServed < lateSent, p.checkRunning()
}

// replaceMachines adds machines, each under a name of its own, and removes each without SIGTERM once it is ready
// or, at the latest, after addedTime.
func (p *platform) replaceMachines(count int) error {
	started := time.Now()
	var group sync.WaitGroup
	failures := make(chan error, replacedLanes)
	for lane := range replacedLanes {
		group.Go(func() {
			for i := lane; i < count; i += replacedLanes {
				n, err := p.newNode(fmt.Sprintf("edge-replaced-%d", i), []string{"a", "b"}[i%2])
				if err == nil {
					err = p.run(n)
				}
				if err != nil {
					failures <- err
					return
				}
				for end := time.Now().Add(addedTime); !n.isReady() && time.Now().Before(end); {
					time.Sleep(5 * time.Millisecond)
				}
				n.kill(true)
				_ = os.Remove(n.settings)
			}
		})
	}
	group.Wait()
	p.record.line("%d machines were added and removed in %v; the nodes' table has %d rows", count, time.Since(started).Round(time.Second), p.store.Rows("wigeontiller-nodes"))
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

// orders sends orders to all nodes for a time, and counts those sent later than after.
func (p *platform) orders(length, after time.Duration) (sent, served int) {
	started := time.Now()
	var group sync.WaitGroup
	var mutex sync.Mutex
	for i := range 2 * len(p.nodes) {
		group.Go(func() {
			c := newClient(p.nodes[i%len(p.nodes)], "key1")
			for time.Since(started) < length {
				at := time.Since(started)
				got := c.sendKind("order", nil)
				p.record.line("order %s to %s: status %d, error %v", got.id, c.to.name, got.status, got.err)
				mutex.Lock()
				if at > after {
					sent++
					if got.err == nil && got.status == http.StatusOK {
						served++
					}
				}
				mutex.Unlock()
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return sent, served
}
