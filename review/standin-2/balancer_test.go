package standin2

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// balancer chooses the nodes of one zone for new connections, after PROTOCOL.md: it asks each node once a second whether it is ready,
// leaves it out after two misses, and uses all of them if fewer than half are left.
type balancer struct {
	nodes  []*node
	mutex  sync.Mutex
	misses map[*node]int
	next   int
}

func newBalancer(nodes []*node) *balancer { return &balancer{nodes: nodes, misses: map[*node]int{}} }

func (b *balancer) run(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ; ctx.Err() == nil; time.Sleep(time.Second) {
		for _, n := range b.nodes {
			response, err := client.Get("http://" + n.ready + "/v1/readyz")
			ready := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			b.mutex.Lock()
			if b.misses[n]++; ready {
				b.misses[n] = 0
			}
			b.mutex.Unlock()
		}
	}
}

// choose returns the node for the next connection.
func (b *balancer) choose() *node {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var in []*node
	for _, n := range b.nodes {
		if b.misses[n] < 2 {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(b.nodes) {
		in = b.nodes
	}
	b.next++
	return in[b.next%len(in)]
}
