package standin2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a stand-in for a worker of the platform, after PROTOCOL.md. It is a process of its own: ADDRESS ID KIND.
type worker struct {
	id, kind string
	// garbles is true between SIGUSR1 and SIGUSR2.
	garbles atomic.Bool
	active  atomic.Int64
}

func runWorker(arguments []string) int {
	if len(arguments) != 3 {
		return cannotRun
	}
	w := &worker{id: arguments[1], kind: arguments[2]}
	listener, err := net.Listen("tcp4", arguments[0])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for received := range signals {
			w.garbles.Store(received == syscall.SIGUSR1)
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return cannotRun
		}
		go w.serve(conn)
	}
}

// serve serves the requests of one connection, one after the other.
func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !w.answer(conn, request, body) {
			return
		}
	}
}

func framed(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}

// answer answers a request, and reports whether the connection goes on.
func (w *worker) answer(conn net.Conn, r *http.Request, body []byte) bool {
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	id := r.Header.Get("X-Attempt-Id")
	head := "X-Attempt-Id: " + id + "\r\nX-Origin-Signature: " + w.id + "." + id + "\r\n"
	target := r.Header.Get("X-Target-Instance")
	switch {
	case r.URL.Path == "/healthz":
		return write(framed(http.StatusOK, "X-Instance-Id: "+w.id+"\r\n", ""))
	case r.URL.Path == "/v1/report":
		report := fmt.Sprintf(`{"phase":"unified","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":0,"queued":0,"active":%d,"kvUsedTokens":0,"kvTotalTokens":232000,"sessionHandles":0,"pace":1}`, w.active.Load())
		return write(framed(http.StatusOK, "Content-Type: application/json\r\n", report))
	case r.URL.Path == "/v1/order":
		return write(framed(http.StatusBadRequest, "", ""))
	case target != "" && target != w.id:
		return write(framed(http.StatusMisdirectedRequest, "X-Instance-Id: "+w.id+"\r\nX-Attempt-Id: "+id+"\r\n", ""))
	}
	w.active.Add(1)
	defer w.active.Add(-1)
	fmt.Printf("run %s %s %s\n", w.id, id, r.URL.Path)
	switch w.kind {
	case "unframed-streams":
		w.unframedStream(write, r, head)
		return false
	case "chunked-streams":
		return w.chunkedStream(write, r, head)
	case "long-lines":
		return w.longLines(write, r, head)
	case "unframed-answers":
		w.unframedAnswer(write, head, id)
		return false
	}
	return false
}

// The streams of the stand-in.
const (
	streamEvents  = 10
	eventInterval = 15 * time.Millisecond
	garbledShare  = 0.05
)

func event(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat(string(rune('a'+number%26)), 65))
}

// unframedStream sends a stream that has no length and ends with its connection. While the worker garbles, it truncates a share
// of its answers: it closes the connection after some events.
func (w *worker) unframedStream(write func(string) bool, r *http.Request, head string) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	last := streamEvents
	if w.garbles.Load() && rand.Float64() < garbledShare && after == 0 {
		last = 1 + rand.IntN(streamEvents-1)
		fmt.Printf("truncates %s %s after event %d\n", w.id, r.Header.Get("X-Attempt-Id"), last)
	}
	if !write("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n\r\n") {
		return
	}
	for number := after + 1; number <= last; number++ {
		time.Sleep(eventInterval)
		if !write(event(number)) {
			return
		}
	}
}

// chunkedStream sends the same stream in chunks. It reports whether the connection goes on.
func (w *worker) chunkedStream(write func(string) bool, r *http.Request, head string) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if !write("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for number := after + 1; number <= streamEvents; number++ {
		time.Sleep(eventInterval)
		if !write(chunk(event(number))) {
			return false
		}
	}
	return write("0\r\n\r\n")
}

// unframedAnswer sends an answer that has no length and ends with its connection, in two parts.
func (w *worker) unframedAnswer(write func(string) bool, head, id string) {
	text := answerText(id)
	time.Sleep(10 * time.Millisecond)
	if !write("HTTP/1.1 200 OK\r\n" + head + "\r\n" + text[:len(text)/2]) {
		return
	}
	time.Sleep(60 * time.Millisecond)
	write(text[len(text)/2:])
}

// answerText is the whole body of the answer to a request.
func answerText(id string) string { return id + " " + strings.Repeat("0123456789", 80) + " end" }

// longLine is the length of the one line of data of an event, with its name.
const longLine = 4096

// longEvent is an event with one long line; the last one has what is left of the text.
func longEvent(number int) string {
	if number == streamEvents {
		return event(number)
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat(string(rune('a'+number%26)), longLine-len("data: ")))
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// longLines sends a stream in chunks, with one long line in each event. While the worker garbles, it stops in the middle of an
// event in a share of its answers: the blank line that ends the event is not sent. It reports whether the connection goes on.
func (w *worker) longLines(write func(string) bool, r *http.Request, head string) bool {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	stopsIn := 0
	if w.garbles.Load() && rand.Float64() < garbledShare && after == 0 {
		stopsIn = 1 + rand.IntN(streamEvents-1)
		fmt.Printf("stops in event %d of %s\n", stopsIn, r.Header.Get("X-Attempt-Id"))
	}
	if !write("HTTP/1.1 200 OK\r\n" + head + "Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n") {
		return false
	}
	for number := after + 1; number <= streamEvents; number++ {
		time.Sleep(eventInterval)
		text := longEvent(number)
		if number == stopsIn {
			write(chunk(text[:len(text)-1]))
			// What was sent is to arrive before the end of the connection.
			time.Sleep(eventInterval)
			return false
		}
		if !write(chunk(text)) {
			return false
		}
	}
	return write("0\r\n\r\n")
}
