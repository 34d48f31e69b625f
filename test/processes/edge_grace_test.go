package processes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
)

// lateRequest is a request on a connection opened before SIGTERM, whose body becomes whole some time after it.
type lateRequest struct {
	id, route string
	whole     time.Duration
	status    int
	err       error
	ended     time.Duration
}

// send sends the request and reads its answer. The last byte of its body is sent when it is to become whole.
func (l *lateRequest) send(address string, stopped <-chan time.Time) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		l.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	const body = "order"
	usage := ""
	if l.route == "talk" {
		usage = "X-Token-Usage: 1000,300\r\n"
	}
	_, l.err = fmt.Fprintf(conn, "POST /%s/late HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 20000\r\n%sContent-Length: %d\r\n\r\n%s",
		l.route, l.id, usage, len(body), body[:len(body)-1])
	started := <-stopped
	time.Sleep(time.Until(started.Add(l.whole)))
	if _, err := io.WriteString(conn, body[len(body)-1:]); err != nil {
		l.err = err
		return
	}
	l.status, _, l.err = readAnswer(bufio.NewReader(conn))
	l.ended = time.Since(started)
}

// readAnswer reads an answer to its end. closes is true if the connection ends with it.
func readAnswer(reader *bufio.Reader) (status int, closes bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, true, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, response.Close, err
}

// runs counts the runs of a request at all upstreams.
func runs(upstreams []*fleetengine.Engine, id string) (count int) {
	for _, upstream := range upstreams {
		for _, run := range upstream.Runs() {
			if run.ID == id {
				count++
			}
		}
	}
	return count
}

// TestFleetOfProcessesAnswersRequestsThatAreWholeLateInTheGrace stops a node in calm while requests of open connections
// become whole one by one until its end. One that was passed on late was given up in the middle of its run.
func TestFleetOfProcessesAnswersRequestsThatAreWholeLateInTheGrace(t *testing.T) {
	// The harness gives a grace of 6 s. What is whole this long before its end has an answer.
	const grace, answered = 6 * time.Second, 5 * time.Second
	for _, runTime := range []time.Duration{15 * time.Millisecond, 900 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(runTime.String(), func(t *testing.T) {
			t.Parallel()
			f := startFleetOf(t, 3, false)
			for range 3 {
				f.apps = append(f.apps, f.addEngine("app", len(f.apps)))
			}
			for _, app := range f.apps {
				app.Set(fleetengine.Knobs{RunTime: runTime})
			}
			var group sync.WaitGroup
			for i := range 16 { // the node learns how long the runs take
				group.Go(func() {
					late := lateRequest{id: fmt.Sprintf("warm-%d", i), route: []string{"book", "look"}[i%2]}
					now := make(chan time.Time, 1)
					now <- time.Now()
					late.send(f.nodes[0].callers, now)
				})
			}
			group.Wait()
			var requests []*lateRequest
			stopped := make(chan time.Time)
			for at := time.Duration(0); at < grace; at += 100 * time.Millisecond {
				for _, route := range []string{"book", "look", "talk"} {
					late := &lateRequest{id: fmt.Sprintf("%s-%d", route, at.Milliseconds()), route: route, whole: at}
					requests = append(requests, late)
					group.Go(func() { late.send(f.nodes[0].callers, stopped) })
				}
			}
			time.Sleep(200 * time.Millisecond)
			f.nodes[0].signal(t, syscall.SIGTERM)
			f.exits.Add(1)
			now := time.Now()
			for range requests {
				stopped <- now
			}
			group.Wait()
			f.nodes[0].waitExit(t)
			served, refused := map[string]int{}, map[string]int{}
			for _, late := range requests {
				ran := runs(append(f.apps, f.engines...), late.id)
				complete := late.err == nil && late.status == http.StatusOK
				notRun := late.err == nil && late.status == http.StatusServiceUnavailable
				switch {
				case complete:
					served[late.route]++
				case notRun && ran == 0:
					refused[late.route]++
				case ran > 0:
					t.Errorf("%s ran %d times and ended with status %d, error %v, %v after SIGTERM", late.id, ran, late.status, late.err, late.ended)
				case late.whole < answered:
					t.Errorf("%s has no answer: status %d, error %v, %v after SIGTERM", late.id, late.status, late.err, late.ended)
				}
			}
			t.Logf("served %v, refused as not run %v of %d each", served, refused, len(requests)/3)
			if served["book"] == 0 {
				t.Error("no order was served")
			}
		})
	}
}
