package standin2

import (
	"bufio"
	"fmt"
	"io"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["truncated-streams"] = playTruncatedStreams }

// The plan of the case: calm, then as long as the site's largest garble lasts, and a moment after it.
const (
	truncatedNodes, truncatedWorkers = 3, 6
	calmTime                         = 60 * time.Second
	garbleTime                       = 5 * time.Second
	streamsInterval                  = 30 * time.Millisecond
)

// runs writes what workers say of their runs into the record.
func (r *record) runs(output io.Reader) {
	for lines := bufio.NewScanner(output); lines.Scan(); {
		r.printf("worker: %s", lines.Text())
	}
}

// playTruncatedStreams plays workers whose streams have no length, half of which truncate some answers for a time.
func playTruncatedStreams(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return cannotRun, err
	}
	defer f.close()
	f.configure(1, streamRoute("/lohu930/", 10_000, 300, 250))
	var workers []*exec.Cmd
	for i := range truncatedWorkers {
		id := fmt.Sprint("i-", i+1)
		command, address, err := f.startWorker(id, "unframed-streams")
		if err != nil {
			return cannotRun, err
		}
		workers = append(workers, command)
		f.register(id, "llm", address, "z"+string(rune('a'+i%3)), 16, time.Now().UnixMilli())
	}
	if err := f.startNodes(truncatedNodes); err != nil {
		return cannotRun, err
	}
	time.Sleep(6 * time.Second)
	garble := func(with syscall.Signal) {
		if !trouble {
			return
		}
		for _, command := range workers[:truncatedWorkers/2] {
			_ = command.Process.Signal(with)
		}
		r.printf("half of the workers: %v", with)
	}
	time.AfterFunc(calmTime, func() { garble(syscall.SIGUSR1) })
	time.AfterFunc(calmTime+garbleTime, func() { garble(syscall.SIGUSR2) })
	var group sync.WaitGroup
	var mutex sync.Mutex
	counts := map[string]int{}
	number := 0
	for end := time.Now().Add(calmTime + garbleTime + time.Second); time.Now().Before(end); time.Sleep(streamsInterval / 2) {
		number++
		request := sent{
			id: fmt.Sprintf("a%015d", number), method: "POST", path: "/lohu930/2f", body: strings.Repeat("b", 1200), deadline: 10 * time.Second,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "1460,430", "X-Prefix-Hash": fmt.Sprintf("%x:1460", 0x5c1e0000+number)},
		}
		to := f.nodes[number%truncatedNodes]
		group.Go(func() {
			got := send(to.callers, request)
			events := got.events()
			kind := "whole stream"
			switch {
			case got.status != 200:
				kind = "no stream"
			case !got.whole:
				kind = "stream that was broken off, and looks so"
			case len(events) < streamEvents:
				kind = "stream that looks complete and is not"
			}
			mutex.Lock()
			counts[kind]++
			mutex.Unlock()
			r.printf("client: %s by %s: %s: %v, events %v", request.id, to.name, kind, &got, events)
		})
	}
	group.Wait()
	for kind, count := range counts {
		r.printf("%d times: %s", count, kind)
	}
	for _, line := range f.invariants() {
		r.printf("invariant: %s", line)
	}
	switch {
	case counts["stream that looks complete and is not"] > 0:
		return broken, nil
	case counts["whole stream"] < number/2:
		return cannotRun, fmt.Errorf("only %d of %d streams were whole", counts["whole stream"], number)
	}
	return held, nil
}
