package processes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
	"github.com/wigeontiller/wigeontiller/standin/fleetstore"
)

const (
	memoryBodyBytes = 4 << 20
	// statmColumn is the column of the resident pages in /proc/PID/statm.
	statmColumn = 1
	// minMemorySamples is how often the memory must have been read beside a form, for its peak to count.
	minMemorySamples = 20
	// bigAnswerBytes is the answer to callers that don't read.
	bigAnswerBytes = 4 << 20
)

// memoryNode is a node with a memory limit, beside others of the same fleet.
type memoryNode struct {
	*process
	memoryMB                       int
	callers, ready, metrics, peers string
	// unread is what the kernel holds for the process, unreadPeak the most of it, and peak the most of that and the
	// resident size together, in bytes.
	unread, unreadPeak, peak atomic.Int64
	// samples counts the reads of the resident size.
	samples atomic.Int64
	ended   atomic.Bool
}

// memoryFleet is a node of each memory before stand-ins.
type memoryFleet struct {
	t     *testing.T
	nodes []*memoryNode
	ids   atomic.Int64
	// long is true if each form is played long enough to check its times.
	long bool
	// firstsBeside are the times to the first events beside all forms, firstsInCalm those at the node in calm.
	firstsBeside, firstsInCalm []time.Duration
}

func newMemoryFleet(t *testing.T, sizes ...int) *memoryFleet {
	f := &memoryFleet{t: t}
	store := fleetstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	runtime := map[string]any{
		"slots": 64, "kvCapacityTokens": 232000, "stride": 43, "step_ms": 1.02, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
	}
	route := func(name, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": "/" + name + "/", "routeType": kind, "service": service, "timeoutMs": 10000,
			"targetLatencyMs": 1000, "maxAttempts": 2, "streamResume": kind == "streaming", "gapTargetMs": 500,
		}
	}
	store.Put("op", "config", map[string]any{
		"version": 1,
		"routes": []any{
			route("chat", "streaming", "llm"), route("book", "unsafe", "app"), route("folder", "unsafe", "folders"),
			route("endless", "unsafe", "faulty"), route("flood", "streaming", "faulty-llm"),
		},
		"services": []any{
			map[string]any{"name": "llm", "runtime": runtime}, map[string]any{"name": "app"}, map[string]any{"name": "folders"},
			map[string]any{"name": "faulty"}, map[string]any{"name": "faulty-llm", "runtime": runtime},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": memoryBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "works", "apiKeys": []string{"key-a"}}, map[string]any{"name": "loud", "apiKeys": []string{"key-b"}},
		},
	})
	put := func(id, service, address string) {
		store.Put("servers", id, map[string]any{"service": service, "address": address, "zone": "z0", "slots": 64, "state": "ready", "born": 1})
	}
	for i := range 3 {
		for _, service := range []string{"llm", "app"} {
			engine := fleetengine.New(fmt.Sprintf("%s-%d", service, i))
			// The first event comes after about as long as on the users' sites.
			engine.EventInterval, engine.Events = 120*time.Millisecond, 2
			engine.Set(fleetengine.Knobs{RunTime: 15 * time.Millisecond})
			upstream, err := fleetengine.Serve(engine)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(upstream.Close)
			store.Put("servers", engine.ID, map[string]any{
				"service": service, "address": upstream.Address(), "zone": "z0", "slots": 64, "state": "ready", "born": engine.Incarnation(),
			})
		}
		folders := httptest.NewServer(http.HandlerFunc(serveFolder))
		t.Cleanup(func() {
			folders.CloseClientConnections()
			folders.Close()
		})
		put(fmt.Sprintf("folders-%d", i), "folders", strings.TrimPrefix(folders.URL, "http://"))
		put(fmt.Sprintf("faulty-%d", i), "faulty", serveEndlessBytes(t, false))
		put(fmt.Sprintf("faulty-llm-%d", i), "faulty-llm", serveEndlessBytes(t, i == 0))
	}
	for i, size := range sizes {
		f.nodes = append(f.nodes, f.startNode(i, size, strings.TrimPrefix(server.URL, "http://")))
	}
	for _, n := range f.nodes {
		eventually(t, "the node is ready", func() bool {
			response, err := http.Get("http://" + n.ready + "/v1/readyz")
			if err == nil {
				_ = response.Body.Close()
			}
			return err == nil && response.StatusCode == http.StatusOK
		})
		go n.watch()
	}
	return f
}

// serveFolder is an upstream that takes large bodies and gives large answers.
func serveFolder(w http.ResponseWriter, r *http.Request) {
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Origin-Signature", "s")
	answer := []byte("ok")
	if strings.Contains(r.URL.Path, "big") {
		answer = make([]byte, bigAnswerBytes)
	}
	time.Sleep(200 * time.Millisecond)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

func (f *memoryFleet) startNode(i, memoryMB int, store string) *memoryNode {
	n := &memoryNode{memoryMB: memoryMB, callers: freeAddress(f.t), ready: freeAddress(f.t), metrics: freeAddress(f.t), peers: freeAddress(f.t)}
	_, port, _ := net.SplitHostPort(n.peers)
	text := fmt.Sprintf(`name: edge-%d
zone: z0
caller_address: %s
ready_address: %s
metrics_address: %s
peer_ip: 127.0.0.1
peer_ports: [%s]
store_address: %s
grace_seconds: 6
revoke_ms: 5000
apply_ms: 2000
retry_ratio: 0.2
retry_window_seconds: 10
retry_extra: 100
warm_overshoot: 1.5
memory_mb: %d
max_descriptors: 4100
`, i, n.callers, n.ready, n.metrics, port, store, memoryMB)
	file := filepath.Join(f.t.TempDir(), "edge.yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	n.process = start(f.t, "wigeontiller", "edge", file)
	return n
}

// watch records the memory of the process each 10 ms.
func (n *memoryNode) watch() {
	go n.watchUnread()
	for {
		select {
		case <-n.done:
			n.ended.Store(true)
			return
		case <-time.After(10 * time.Millisecond):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.command.Process.Pid))
		if err != nil {
			continue
		}
		pages, _ := strconv.ParseInt(strings.Fields(string(text))[statmColumn], 10, 64)
		n.peak.Store(max(n.peak.Load(), pages*int64(os.Getpagesize())+n.unread.Load()))
		n.samples.Add(1)
	}
}

// processorTime is the processor time that the process has used.
func (n *memoryNode) processorTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	// The fields after the name in parentheses: state is the first, user and system time the 12th and 13th.
	const user, system, tick = 11, 12, 10 * time.Millisecond
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, i := range []int{user, system} {
		value, _ := strconv.Atoi(fields[i])
		ticks += value
	}
	return time.Duration(ticks) * tick
}

// watchUnread records the bytes that the process has not read. The kernel's list is long.
func (n *memoryNode) watchUnread() {
	for {
		select {
		case <-n.done:
			return
		case <-time.After(100 * time.Millisecond):
			n.unread.Store(n.unreadBytes())
			n.unreadPeak.Store(max(n.unreadPeak.Load(), n.unread.Load()))
		}
	}
}

// unreadBytes is the sum of what the kernel has received at the node's ports and the node has not read.
func (n *memoryNode) unreadBytes() int64 {
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ports := map[string]bool{}
	for _, address := range []string{n.callers, n.ready, n.metrics, n.peers} {
		_, port, _ := net.SplitHostPort(address)
		number, _ := strconv.Atoi(port)
		ports[fmt.Sprintf("%04X", number)] = true
	}
	const listening = "0A"
	sum := int64(0)
	for line := range strings.Lines(string(text)) {
		// sl, local address, remote address, state, tx_queue:rx_queue
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == listening {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if _, queued, ok := strings.Cut(fields[4], ":"); ok && ports[port] {
			bytes, _ := strconv.ParseInt(queued, 16, 64)
			sum += bytes
		}
	}
	return sum
}

// ordinaryCaller sends one request after another on a kept connection.
type ordinaryCaller struct {
	fleet   *memoryFleet
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// kept is true if the connection has carried a request.
	kept bool
}

// outcome is how one request ended.
type outcome struct {
	status int
	// cut is true if a kept connection was closed without an answer.
	served, cut bool
	first       time.Duration
}

func (o *ordinaryCaller) close() {
	if o.conn != nil {
		_ = o.conn.Close()
	}
	o.conn = nil
}

func (o *ordinaryCaller) call(path, header, body string) (got outcome) {
	started := time.Now()
	if o.conn == nil {
		conn, err := net.DialTimeout("tcp4", o.address, time.Second)
		if err != nil {
			return got
		}
		o.conn, o.reader, o.kept = conn, bufio.NewReader(conn), false
	}
	got.cut = o.kept
	_ = o.conn.SetDeadline(started.Add(5 * time.Second))
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a%d\r\nX-Deadline-Ms: 4000\r\nAuthorization: Token key-a\r\n%sContent-Length: %d\r\n\r\n",
		path, o.fleet.ids.Add(1), header, len(body))
	_, errWrite := io.WriteString(o.conn, text+body)
	response, err := http.ReadResponse(o.reader, nil)
	if err != nil || errWrite != nil {
		o.close()
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.cut, o.kept = false, true
	got.status = response.StatusCode
	var one [1]byte
	n, _ := response.Body.Read(one[:])
	got.first = time.Since(started)
	rest, err := io.Copy(io.Discard, response.Body)
	got.served = err == nil && got.status == http.StatusOK && int64(n)+rest > 0
	if err != nil || response.Close {
		o.close()
	}
	return got
}

// ordinaryLoad is what ordinary callers saw in some time.
type ordinaryLoad struct {
	mutex             sync.Mutex
	sent, served, cut int
	firsts            []time.Duration
	statuses          map[int]int
}

func (l *ordinaryLoad) add(got outcome, stream bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	l.statuses[got.status]++
	if got.served {
		l.served++
	}
	if got.served && stream {
		l.firsts = append(l.firsts, got.first)
	}
	if got.cut {
		l.cut++
	}
}

// share is the part that was served.
func (l *ordinaryLoad) share() float64 { return float64(l.served) / float64(max(1, l.sent)) }

// runOrdinary sends requests of both kinds to a node for a time: some callers with streams, some with plain requests.
func (f *memoryFleet) runOrdinary(n *memoryNode, length time.Duration) *ordinaryLoad {
	load := &ordinaryLoad{statuses: map[int]int{}}
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range 24 {
		group.Go(func() {
			caller := &ordinaryCaller{fleet: f, address: n.callers}
			defer caller.close()
			time.Sleep(time.Duration(i) * 4 * time.Millisecond)
			for time.Now().Before(end) {
				path, header, body := "/chat/x", "X-Token-Usage: 500,20\r\n", "{}"
				if i%3 == 0 {
					path, header, body = "/book/x", "", strings.Repeat("b", 900)
				}
				load.add(caller.call(path, header, body), i%3 != 0)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return load
}
