package processes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"sync"
	"testing"
	"time"
)

// endlessAnswers are what a faulty upstream sends by the last element of the path: the first bytes, and what follows them again and
// again. ID stands for the request's.
var endlessAnswers = map[string]struct{ first, again string }{
	"no-answer":   {"", strings.Repeat("a", 16<<10)},
	"field":       {"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Long: ", strings.Repeat("a", 16<<10)},
	"fields":      {"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n", strings.Repeat("X-Field: value\r\n", 1<<10)},
	"interim":     {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 640)},
	"length":      {endlessHead + "Content-Length: 1000000000000\r\n\r\n", strings.Repeat("a", 16<<10)},
	"chunks":      {endlessHead + "Transfer-Encoding: chunked\r\n\r\n", "4000\r\n" + strings.Repeat("a", 16<<10) + "\r\n"},
	"unframed":    {endlessHead + "\r\n", strings.Repeat("a", 16<<10)},
	"line":        {endlessHead + "Content-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("a", 16<<10)},
	"lines":       {endlessHead + "Content-Type: text/event-stream\r\n\r\n", strings.Repeat("data: a\n", 2<<10)},
	"comments":    {endlessHead + "Content-Type: text/event-stream\r\n\r\n", strings.Repeat(": a\n\n", 3<<10)},
	"long-events": {endlessHead + "Content-Type: text/event-stream\r\n\r\n", "data: " + strings.Repeat("a", 500<<10) + "\n\n"},
}

const endlessHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Origin-Signature: s\r\n"

// serveEndlessBytes starts an upstream that sends bytes without end until its caller closes, also for its reports if these are to be
// faulty, and returns its address.
func serveEndlessBytes(t *testing.T, faultyReports bool) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = conn.Close() })
			go answerEndlessly(conn, faultyReports)
		}
	}()
	return listener.Addr().String()
}

const reportPath = "/v1/report"

// endlessWriters holds the forms in which bytes are sent, by connection.
var endlessWriters sync.Map

func answerEndlessly(conn net.Conn, faultyReports bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	request, err := http.ReadRequest(reader)
	for err == nil && request.URL.Path == reportPath && !faultyReports {
		const report = `{"pace":1,"queued":0,"active":0,"kvUsedTokens":0,"phase":"unified"}`
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		request, err = http.ReadRequest(reader)
	}
	if err != nil {
		return
	}
	form := path.Base(request.URL.Path)
	if request.URL.Path == reportPath {
		form = "length"
	}
	endlessWriters.Store(conn, form)
	defer endlessWriters.Delete(conn)
	answer := endlessAnswers[form]
	_, err = io.WriteString(conn, strings.ReplaceAll(answer.first, "ID", request.Header.Get("X-Attempt-Id")))
	for err == nil {
		_, err = io.WriteString(conn, answer.again)
	}
}

// checkEndlessWritersEnd checks that all connections to faulty upstreams are closed within a time.
func checkEndlessWritersEnd(t *testing.T, within time.Duration) {
	t.Helper()
	var left map[any]int
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		left = map[any]int{}
		endlessWriters.Range(func(_, form any) bool {
			left[form]++
			return true
		})
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			break
		}
	}
	t.Errorf("%v after their callers left, upstreams still send for %v", within, left)
}

// endlessCaller asks for an answer without end and reads it at a pace: bytes each 10 ms, or none. It keeps its connection until the
// node closes it or the time is over.
func (f *memoryFleet) endlessCaller(ctx context.Context, n *memoryNode, route, form string, pace int) {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp4", n.callers, time.Second)
		if err != nil {
			return
		}
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		usage := ""
		if route == "flood" {
			usage = "X-Token-Usage: 1000,300\r\n"
		}
		_, err = fmt.Fprintf(conn, "POST /%s/%s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: e%d\r\nX-Deadline-Ms: 9000\r\nAuthorization: Token key-b\r\n%sContent-Length: 0\r\n\r\n",
			route, form, f.ids.Add(1), usage)
		data := make([]byte, max(1, pace))
		for err == nil && ctx.Err() == nil {
			if pace > 0 {
				_, err = conn.Read(data)
			}
			time.Sleep(10 * time.Millisecond)
		}
		stop()
		_ = conn.Close()
	}
}

// TestUpstreamsThatSendWithoutEndCostNoOtherRequest guards against a node that holds all that a faulty upstream sends, runs out of
// memory, and takes the requests of other callers with it.
func TestUpstreamsThatSendWithoutEndCostNoOtherRequest(t *testing.T) {
	// leaveTime is how long an upstream may be at work after its caller has left.
	const callersPerForm, length, leaveTime = 8, 4 * time.Second, 500 * time.Millisecond
	f := newMemoryFleet(t, 184, 184)
	calm, n := f.nodes[0], f.nodes[1]
	paces := []int{0, 1 << 10, 1 << 20}
	for _, only := range append([]string{""}, "length", "chunks", "line", "comments") {
		n.peak.Store(0)
		ctx, cancel := context.WithCancel(t.Context())
		var faulty sync.WaitGroup
		for form := range endlessAnswers {
			count := callersPerForm
			switch only {
			case "":
			case form:
				count *= len(endlessAnswers)
			default:
				continue
			}
			for i := range count {
				for _, route := range []string{"endless", "flood"} {
					faulty.Go(func() { f.endlessCaller(ctx, n, route, form, paces[i%len(paces)]) })
				}
			}
		}
		time.Sleep(300 * time.Millisecond)
		var load, loadInCalm *ordinaryLoad
		var ordinary sync.WaitGroup
		ordinary.Go(func() { load = f.runOrdinary(n, length) })
		ordinary.Go(func() { loadInCalm = f.runOrdinary(calm, length) })
		ordinary.Wait()
		cancel()
		faulty.Wait()
		checkEndlessWritersEnd(t, leaveTime)
		name := only
		if name == "" {
			name = "all forms"
		}
		t.Logf("%s: peak %d MB of %d; %s; at a node in calm: %s", name, n.peak.Load()>>20, n.memoryMB, load, loadInCalm)
		switch {
		case n.ended.Load():
			t.Fatalf("%s: the process ended", name)
		case n.peak.Load() > int64(n.memoryMB)<<20:
			t.Errorf("%s: the process held %d MB", name, n.peak.Load()>>20)
		case load.cut > 0:
			t.Errorf("%s: %d kept connections of other callers were closed without an answer", name, load.cut)
		case load.share() < minServedShare*loadInCalm.share():
			t.Errorf("%s: served %.3f, in calm %.3f", name, load.share(), loadInCalm.share())
		}
	}
}
