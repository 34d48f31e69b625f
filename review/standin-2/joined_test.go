package standin2

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["joined-events"] = playJoinedEvents }

// pieces returns the events of a stream as a reader of text/event-stream takes them: fields up to a blank line.
func pieces(body []byte) (list []string) {
	for _, text := range strings.Split(string(body), "\n\n") {
		if strings.Trim(text, "\n") != "" {
			list = append(list, strings.Trim(text, "\n")+"\n\n")
		}
	}
	return list
}

// playJoinedEvents plays workers whose events have a line of 4 KiB, half of which stop in the middle of an event in some answers.
func playJoinedEvents(r *record, trouble bool) (int, error) {
	const calm, rest = 6 * time.Second, 2 * time.Second
	f, err := newFleet(r)
	if err != nil {
		return cannotRun, err
	}
	defer f.close()
	f.configure(1, streamRoute("/lohu930/", 10_000, 300, 250))
	var workers []*exec.Cmd
	for i := range truncatedWorkers {
		id := fmt.Sprint("i-", i+1)
		command, address, err := f.startWorker(id, "long-lines")
		if err != nil {
			return cannotRun, err
		}
		workers = append(workers, command)
		f.register(id, "llm", address, "z"+string(rune('a'+i%3)), 16, time.Now().UnixMilli())
	}
	if err := f.startNodes(truncatedNodes); err != nil {
		return cannotRun, err
	}
	garble := func(with syscall.Signal) {
		for _, command := range workers[:truncatedWorkers/2] {
			_ = command.Process.Signal(with)
		}
		r.printf("half of the workers: %v", with)
	}
	if trouble {
		time.AfterFunc(calm, func() { garble(syscall.SIGUSR1) })
		time.AfterFunc(calm+garbleTime, func() { garble(syscall.SIGUSR2) })
	}
	var group sync.WaitGroup
	var mutex sync.Mutex
	counts := map[string]int{}
	number := 0
	for end := time.Now().Add(calm + garbleTime + rest); time.Now().Before(end); time.Sleep(streamsInterval / 2) {
		number++
		request := sent{
			id: fmt.Sprintf("a%015d", number), method: "POST", path: "/lohu930/2f", body: strings.Repeat("b", 1200), deadline: 10 * time.Second,
			header: map[string]string{"X-Model": "m", "X-Token-Usage": "1460,430", "X-Prefix-Hash": fmt.Sprintf("%x:1460", 0x5c1e0000+number)},
		}
		to := f.nodes[number%truncatedNodes]
		group.Go(func() {
			got := send(to.callers, request)
			kind, wrong := "whole stream", 0
			list := pieces(got.body)
			for i, piece := range list {
				if piece != longEvent(i+1) && !(i == len(list)-1 && !got.whole) {
					wrong = i + 1
					break
				}
			}
			switch {
			case got.status != 200:
				kind = "no stream"
			case wrong > 0:
				kind = fmt.Sprintf("stream whose piece %d is not the worker's", wrong)
			case !got.whole:
				kind = "stream that was broken off, and looks so"
			}
			mutex.Lock()
			counts[strings.Fields(kind)[0]+" "+strings.Fields(kind)[1]]++
			mutex.Unlock()
			r.printf("client: %s by %s: %s: %v, %d pieces, events %v", request.id, to.name, kind, &got, len(list), got.events())
		})
	}
	group.Wait()
	for kind, count := range counts {
		r.printf("%d times: %s", count, kind)
	}
	switch {
	case counts["stream whose"] > 0:
		return broken, nil
	case counts["whole stream"] < number/2:
		return cannotRun, fmt.Errorf("only %d of %d streams were whole", counts["whole stream"], number)
	}
	return held, nil
}
