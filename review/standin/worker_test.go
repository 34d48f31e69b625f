//go:build review

package standin

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a worker of one service that has registered itself in the store.
type worker struct {
	id, address string
	// work is how long a request runs.
	work time.Duration
	// answer writes the answer to a request that ran and reports whether it was written to its end; nil
	// writes 800 bytes.
	answer func(w *worker, writer http.ResponseWriter, r *http.Request) bool
	slots  chan struct{}

	mutex sync.Mutex
	runs  map[string]*run
}

// run is what a worker knows of the runs of one attempt.
type run struct {
	count int
	at    time.Time
	// whole is true after the answer was written to its end, unframed if it had no length and ended with its
	// connection.
	whole, unframed bool
	// authorization is the key that was passed on; empty is none.
	authorization string
}

// addWorker starts a worker and registers it.
func (p *platform) addWorker(id, service, zone string, slots int, work time.Duration) (*worker, error) {
	w := &worker{id: id, work: work, slots: make(chan struct{}, slots), runs: map[string]*run{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	server := &http.Server{Handler: w, ReadHeaderTimeout: time.Minute}
	// The server ends with this process.
	go func() { _ = server.Serve(listener) }()
	p.store.Put("servers", id, map[string]any{
		"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return w, nil
}

// queueTime is how long a request may wait for a slot.
const queueTime = 2 * time.Second

// ServeHTTP runs one request, or refuses it if it is for another worker or there is no room.
func (w *worker) ServeHTTP(writer http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	writer.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Target-Instance") != w.id {
		writer.Header().Set("X-Instance-Id", w.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/v1/report" {
		_, _ = fmt.Fprintf(writer, `{"phase":"unified","models":[],"busy":false,"sequence":1,"queued":0,"active":%d,"pace":1,"kvUsedTokens":0,"kvTotalTokens":232000}`, len(w.slots))
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if id == "" {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-time.After(queueTime):
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	w.begin(id, r)
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	writer.Header().Set("X-Origin-Signature", w.id+"."+id)
	if w.answer == nil {
		_, err := writer.Write(bytes.Repeat([]byte("x"), 800))
		w.end(id, err == nil, false)
	} else if !w.answer(w, writer, r) {
		panic(http.ErrAbortHandler)
	}
}

func (w *worker) begin(id string, r *http.Request) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.runs[id] == nil {
		w.runs[id] = &run{}
	}
	w.runs[id].count++
	w.runs[id].at, w.runs[id].authorization = time.Now(), r.Header.Get("Authorization")
}

func (w *worker) end(id string, whole, unframed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.runs[id].whole, w.runs[id].unframed = whole, unframed
}

// ran returns the runs of an attempt at all workers together.
func ran(workers []*worker, id string) run {
	var all run
	for _, w := range workers {
		w.mutex.Lock()
		if one := w.runs[id]; one != nil {
			count := all.count + one.count
			all = *one
			all.count = count
		}
		w.mutex.Unlock()
	}
	return all
}
