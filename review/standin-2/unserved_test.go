package standin2

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["unserved-streams"] = playUnservedStreams }

// unservedTime is how long clients send.
const unservedTime = 60 * time.Second

// playUnservedStreams plays sound workers whose streams have no length, and prompts that share their first part. Without the
// disruption the same streams come in chunks.
func playUnservedStreams(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return cannotRun, err
	}
	defer f.close()
	f.configure(1, streamRoute("/lohu930/", 10_000, 300, 250))
	kind := "chunked-streams"
	if trouble {
		kind = "unframed-streams"
	}
	for i := range truncatedWorkers {
		id := fmt.Sprint("i-", i+1)
		_, address, err := f.startWorker(id, kind)
		if err != nil {
			return cannotRun, err
		}
		f.register(id, "llm", address, "z"+string(rune('a'+i%3)), 16, time.Now().UnixMilli())
	}
	if err := f.startNodes(truncatedNodes); err != nil {
		return cannotRun, err
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10 * time.Second)
	var group sync.WaitGroup
	var mutex sync.Mutex
	counts := map[string]int{}
	number := 0
	for end := time.Now().Add(unservedTime); time.Now().Before(end); time.Sleep(streamsInterval) {
		number++
		request := sent{
			id: fmt.Sprintf("a%015d", number), method: "POST", path: "/lohu930/2f", body: strings.Repeat("b", 1200), deadline: 10 * time.Second,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "1460,430", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:40,%x:1420", 0x91bd0000+number)},
		}
		to := f.nodes[number%truncatedNodes]
		group.Go(func() {
			got := send(to.callers, request)
			kind := "whole stream"
			switch {
			case got.status == 0:
				kind = "no answer"
			case got.status != 200:
				kind = "refusal"
			case !got.whole:
				kind = "stream that was broken off"
			}
			mutex.Lock()
			counts[kind]++
			mutex.Unlock()
			r.printf("client: %s by %s: %s: %v, events %v", request.id, to.name, kind, &got, got.events())
		})
	}
	group.Wait()
	for kind, count := range counts {
		r.printf("%d times: %s", count, kind)
	}
	switch {
	case counts["whole stream"] == 0:
		return broken, nil
	case counts["whole stream"] < number/2:
		return cannotRun, fmt.Errorf("only %d of %d streams were whole", counts["whole stream"], number)
	}
	return held, nil
}
