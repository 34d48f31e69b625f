package standin2

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["restarted-node"] = playRestartedNode }

const (
	// learnTime is the time in which the nodes of this deployment come to serve all streams whole.
	learnTime = 45 * time.Second
	// plannedTime is how long after SIGTERM the work is planned: graceS and 1 s.
	plannedTime = 9 * time.Second
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 200 * time.Millisecond
)

// playRestartedNode plays sound workers whose streams have no length, and the planned stop and start of one node.
func playRestartedNode(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return cannotRun, err
	}
	defer f.close()
	f.configure(1, streamRoute("/lohu930/", 10_000, 300, 250))
	for i := range truncatedWorkers {
		id := fmt.Sprint("i-", i+1)
		_, address, err := f.startWorker(id, "unframed-streams")
		if err != nil {
			return cannotRun, err
		}
		f.register(id, "llm", address, "z"+string(rune('a'+i%3)), 16, time.Now().UnixMilli())
	}
	if err := f.startNodes(truncatedNodes, "za"); err != nil {
		return cannotRun, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	balance := newBalancer(f.nodes)
	go balance.run(ctx)
	time.Sleep(6 * time.Second)
	planned := time.Now().Add(learnTime)
	stopped := f.nodes[0]
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Until(planned))
		if !trouble {
			return
		}
		_ = stopped.command.Process.Signal(syscall.SIGTERM)
		r.printf("SIGTERM to %s", stopped.name)
		err := stopped.command.Wait()
		r.printf("%s has ended: %v", stopped.name, err)
		time.Sleep(restartDelay)
		if err := f.startNode(stopped); err != nil {
			r.printf("%s does not start again: %v", stopped.name, err)
		}
	})
	var mutex sync.Mutex
	counts := map[string]int{}
	whole, lost := 0, 0
	number := 0
	for end := planned.Add(plannedTime); time.Now().Before(end); time.Sleep(streamsInterval) {
		number++
		request := sent{
			id: fmt.Sprintf("a%015d", number), method: "POST", path: "/lohu930/2f", body: strings.Repeat("b", 1200), deadline: 10 * time.Second,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "1460,430", "X-Prefix-Hash": fmt.Sprintf("%x:1460", 0x5c1e0000+number)},
		}
		to, at := balance.choose(), time.Now()
		group.Go(func() {
			got := send(to.callers, request)
			kind := "whole stream"
			switch {
			case got.status == 0 && got.passedOn:
				kind = "connection that ended without an answer"
			case got.status == 0:
				kind = "no connection"
			case got.status != 200:
				kind = "refusal"
			case !got.whole:
				kind = "stream that was broken off"
			}
			// By the rule: the machine had its SIGTERM, and the request was passed on to a worker, which has answered it whole.
			inPlan := to == stopped && !at.Before(planned)
			mutex.Lock()
			counts[kind]++
			if kind == "whole stream" {
				whole++
			}
			if inPlan && kind == "stream that was broken off" {
				lost++
			}
			mutex.Unlock()
			r.printf("client: %s by %s, beside planned work: %v: %s: %v, events %v", request.id, to.name, inPlan, kind, &got, got.events())
		})
	}
	group.Wait()
	for kind, count := range counts {
		r.printf("%d times: %s", count, kind)
	}
	r.printf("%d streams of %s were broken off from %v until %v s after", lost, stopped.name, "its planned stop", plannedTime.Seconds())
	switch {
	case trouble && lost > 0:
		return broken, nil
	case lost > 0:
		return cannotRun, fmt.Errorf("%d streams were broken off without planned work", lost)
	case whole < number/3:
		return cannotRun, fmt.Errorf("only %d of %d streams were whole", whole, number)
	}
	return held, nil
}
