//go:build review

package standin

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

const (
	// memoryMB is memoryMb of the site's machines.
	memoryMB = 284
	// restartDelay is the delay after which the platform starts a process again.
	restartDelay = 500 * time.Millisecond
	// folderBytes is a body within maxBodyBytes.
	folderBytes = 4_000_000
	// folderRate is the number of folders a second at each node, burstFactor the largest x of a burst in the
	// site's days.
	folderRate, burstFactor = 2.6, 2.9
	burstStart, burstTime   = 8 * time.Second, 9500 * time.Millisecond
	memoryTime              = 30 * time.Second
	// clientsPerNode is about the number of the site's clients for two zones.
	clientsPerNode = 45
)

// lossCounter judges the rule LOST: requests of kept connections that reached a sound worker and whose connection
// the node closed without an answer.
type lossCounter struct {
	mutex                         sync.Mutex
	sent, answered, refused, lost int
	workers                       []*worker
	record                        *record
}

func (l *lossCounter) check(name string, c *client, got result) {
	ran := ran(l.workers, got.id)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	isLost := got.err != nil && !got.timedOut && got.kept && ran.count > 0
	switch {
	case got.err == nil && got.status == http.StatusOK:
		l.answered++
	case got.err == nil:
		l.refused++
	case isLost:
		l.lost++
	}
	l.record.line("%s %s to %s: status %d, error %v, kept connection %v; runs %d", name, got.id, c.to.name, got.status, got.err, got.kept, ran.count)
}

// memory sends orders and folders of nearly the largest allowed body. For a while the folders come 2.9 times as
// often. A process over the memory of its machine is killed and started again, as by the platform.
func memory(p *platform) (bool, error) {
	r := p.record
	p.store.Put("op", "config", map[string]any{
		"version": 1, "limits": limits, "routes": []any{
			route("folder", "unsafe", "folders-app", 15000, 2500, 1), route("order", "unsafe", "orders-app", 10000, 120, 1),
		},
		"services": []any{plainService("folders-app"), plainService("orders-app")},
		"tenants":  []any{map[string]any{"name": "works", "apiKeys": []string{"key1"}}},
	})
	l := &lossCounter{record: r}
	for i := range 3 {
		folders, err := p.addWorker(fmt.Sprintf("f-%d", i), "folders-app", "a", 6, 1500*time.Millisecond)
		if err != nil {
			return false, err
		}
		orders, err := p.addWorker(fmt.Sprintf("o-%d", i), "orders-app", "a", 6, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		l.workers = append(l.workers, folders, orders)
	}
	watch := &memoryWatch{record: r, platform: p, top: map[string]int{}, kills: map[string]int{}}
	for _, zone := range []string{"a", "b"} {
		n, err := p.addNode(zone)
		if err != nil {
			return false, err
		}
		go watch.run(n)
	}
	var group sync.WaitGroup
	for _, n := range p.nodes {
		group.Go(func() { l.load(n) })
	}
	group.Wait()
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	r.line("%d requests sent, %d served, %d answered otherwise; largest memory in MB %v, ends by the memory limit %v", l.sent, l.answered, l.refused, watch.top, watch.kills)
	r.line("%d requests were passed on from a kept connection to a sound worker, and their connection was closed without an answer; %d are allowed", l.lost, allowedLosses)
	return l.lost > allowedLosses, nil
}

// load sends folders and orders to one node. The connections of the clients have carried a request before.
func (l *lossCounter) load(n *node) {
	idle := make(chan *client, clientsPerNode)
	for range clientsPerNode {
		c := newClient(n, "key1")
		c.send(http.MethodPost, "/order/first", []byte("order"), 10*time.Second, nil)
		idle <- c
	}
	var group sync.WaitGroup
	defer group.Wait()
	send := func(name string, body []byte, deadline time.Duration) {
		select {
		case c := <-idle:
			group.Go(func() {
				l.check(name, c, c.send(http.MethodPost, "/"+name+"/x", body, deadline, nil))
				idle <- c
			})
		default:
			// All clients wait for an answer.
		}
	}
	folder, started, due, orderDue := make([]byte, folderBytes), time.Now(), 0.0, 0.0
	const step = 20 * time.Millisecond
	for at := time.Duration(0); at < memoryTime; at = time.Since(started) {
		rate := folderRate
		if trouble && at >= burstStart && at < burstStart+burstTime {
			rate *= burstFactor
		}
		due += rate * step.Seconds()
		orderDue += 2 * step.Seconds()
		if due >= 1 {
			due--
			send("folder", folder, 15*time.Second)
		}
		if orderDue >= 1 {
			orderDue--
			send("order", []byte("order"), 600*time.Millisecond)
		}
		time.Sleep(step)
	}
}

// memoryWatch kills processes over the memory of their machine and starts them again.
type memoryWatch struct {
	record   *record
	platform *platform

	mutex sync.Mutex
	// top is the largest memory and kills the number of ends, by node.
	top, kills map[string]int
}

func (m *memoryWatch) run(n *node) {
	for {
		time.Sleep(10 * time.Millisecond)
		used, ended := n.memory()
		if ended {
			return
		}
		m.mutex.Lock()
		m.top[n.name] = max(m.top[n.name], used)
		m.mutex.Unlock()
		if used <= memoryMB {
			continue
		}
		n.kill(false)
		m.record.line("%s uses %d MB of %d and is killed", n.name, used, memoryMB)
		m.mutex.Lock()
		m.kills[n.name]++
		m.mutex.Unlock()
		time.Sleep(restartDelay)
		if err := m.platform.run(n); err != nil {
			m.record.line("%s does not start: %v", n.name, err)
			return
		}
	}
}

// memory returns the resident memory of the node's process in MB, and true if the node has been stopped.
func (n *node) memory() (used int, ended bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stopped {
		return 0, true
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			// The kernel writes a number of kB.
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10, false
		}
	}
	return 0, false
}
