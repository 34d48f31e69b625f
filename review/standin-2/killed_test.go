package standin2

import (
	"fmt"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

func init() { cases["killed-workers"] = playKilledWorkers }

// The plan of the case: one worker of six crashes at a time, for as long as the site's crashes last.
const (
	killedNodes, killedWorkers = 3, 6
	killedTime                 = 60 * time.Second
	crashInterval              = 5 * time.Second
	downTime                   = 4500 * time.Millisecond
	answersInterval            = 10 * time.Millisecond
)

// playKilledWorkers plays workers whose answers have no length, and that crash one after the other.
func playKilledWorkers(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return cannotRun, err
	}
	defer f.close()
	f.configure(1, plainRoute("/cufi504/", "safe", 2), plainRoute("/puxa403/", "unsafe", 1))
	type place struct {
		command     *exec.Cmd
		id, address string
	}
	places := make([]place, killedWorkers)
	register := func(i int) {
		f.register(places[i].id, "app", places[i].address, "z"+string(rune('a'+i%3)), 6, time.Now().UnixMilli())
	}
	for i := range places {
		places[i].id = fmt.Sprint("i-", i+1)
		places[i].command, places[i].address, err = f.startWorker(places[i].id, "unframed-answers")
		if err != nil {
			return cannotRun, err
		}
		register(i)
	}
	if err := f.startNodes(killedNodes); err != nil {
		return cannotRun, err
	}
	time.Sleep(6 * time.Second)
	started := time.Now()
	var group sync.WaitGroup
	if trouble {
		group.Go(func() {
			for i := 0; time.Since(started) < killedTime-crashInterval; i = (i + 1) % killedWorkers {
				time.Sleep(crashInterval - downTime)
				_ = places[i].command.Process.Signal(syscall.SIGKILL)
				r.printf("worker %s is killed", places[i].id)
				_ = places[i].command.Wait()
				time.Sleep(downTime)
				command, err := f.startWorkerAt(places[i].address, places[i].id, "unframed-answers")
				if err != nil {
					r.printf("worker %s does not start again: %v", places[i].id, err)
					return
				}
				places[i].command = command
				register(i)
			}
		})
	}
	var mutex sync.Mutex
	counts := map[string]int{}
	number := 0
	for ; time.Since(started) < killedTime; time.Sleep(answersInterval) {
		number++
		request := sent{id: fmt.Sprintf("a%015d", number), method: "GET", path: "/cufi504/fi50/2f", deadline: 600 * time.Millisecond}
		if number%2 == 0 {
			request.method, request.path, request.body = "POST", "/puxa403/2f", "an order"
		}
		to := f.nodes[number%killedNodes]
		group.Go(func() {
			got := send(to.callers, request)
			kind := "failure or no answer"
			switch {
			case got.status == 200 && !got.whole:
				kind = "success that was broken off, and looks so"
			case got.status == 200 && string(got.body) == answerText(request.id):
				kind = "whole success"
			case got.status == 200:
				kind = "success whose body is not the worker's whole body"
			}
			mutex.Lock()
			counts[kind]++
			mutex.Unlock()
			r.printf("client: %s %s %s by %s: %s: %v", request.id, request.method, request.path, to.name, kind, &got)
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
	case counts["success whose body is not the worker's whole body"] > 0:
		return broken, nil
	case counts["whole success"] < number/2:
		return cannotRun, fmt.Errorf("only %d of %d requests were served", counts["whole success"], number)
	}
	return held, nil
}
