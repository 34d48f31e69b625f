package standin2

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// fleet is a small deployment: the platform's store, workers and nodes of the project, each node a process.
type fleet struct {
	store   *store
	address string
	folder  string
	record  *record
	nodes   []*node

	mutex    sync.Mutex
	children []*exec.Cmd
}

type node struct {
	command              *exec.Cmd
	name, callers, ready string
	settings, log        string
}

// record is the file of what was sent, answered and run.
type record struct {
	file    *os.File
	lines   chan string
	done    chan struct{}
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r := &record{file: file, lines: make(chan string, 1024), done: make(chan struct{}), started: time.Now()}
	go func() {
		defer close(r.done)
		for line := range r.lines {
			fmt.Fprintln(file, line)
		}
	}()
	return r, nil
}

func (r *record) printf(format string, values ...any) {
	r.lines <- fmt.Sprintf("%8.3f s  ", time.Since(r.started).Seconds()) + fmt.Sprintf(format, values...)
}

func (r *record) close() {
	close(r.lines)
	<-r.done
	_ = r.file.Close()
}

// serve serves a handler on a free loopback port and returns its address.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

func freePort() (int, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port, nil
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), folder: folder, record: r}
	f.address, err = serve(f.store)
	go f.endEarly()
	return f, err
}

// longest is the time that a case may take.
const longest = 115 * time.Second

// endEarly ends all processes if the case is ended or takes too long.
func (f *fleet) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	f.close()
	os.Exit(cannotRun)
}

const program = "target/wigeontiller"

// settingsOf are the settings that deploy/edge.yaml gives to a machine of the site psw-cutline.
func (f *fleet) settingsOf(n *node, zone string, port int) string {
	return fmt.Sprintf(`name: %q
zone: %q
regions: {"za":"r","zb":"r","zc":"r"}
caller_address: %q
ready_address: %q
peer_ip: "127.0.0.1"
peer_ports: [%d, %d]
store_address: %q
grace_seconds: 8
revoke_ms: 5000
apply_ms: 2000
drain_ms: 2000
retry_ratio: 0.2
retry_window_seconds: 10
retry_extra: 106
warm_overshoot: 1.5
processor_share: 0.4
memory_mb: 284
max_descriptors: 4100
`, n.name, zone, n.callers, n.ready, port, port, f.address)
}

// startNodes starts this many nodes in zones that are taken in turn, and waits until they are ready.
func (f *fleet) startNodes(count int, zones ...string) error {
	if len(zones) == 0 {
		zones = []string{"za", "zb", "zc"}
	}
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1)}
		var ports [3]int
		for j := range ports {
			var err error
			if ports[j], err = freePort(); err != nil {
				return err
			}
		}
		n.callers, n.ready = fmt.Sprintf("127.0.0.1:%d", ports[0]), fmt.Sprintf("127.0.0.1:%d", ports[1])
		n.settings = filepath.Join(f.folder, n.name+".yaml")
		if err := os.WriteFile(n.settings, []byte(f.settingsOf(n, zones[i%len(zones)], ports[2])), 0o600); err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	for _, n := range f.nodes {
		if err := n.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// startNode starts a node with the command of the deploy file.
func (f *fleet) startNode(n *node) error {
	log, err := os.OpenFile(filepath.Join(f.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.log = log.Name()
	n.command = exec.Command(program, "edge")
	n.command.Env = []string{"WIGEONTILLER_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH")}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	f.own(n.command)
	f.record.printf("node %s starts", n.name)
	return nil
}

func (n *node) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}

// startWorker starts a worker as a process of its own and returns its command and address.
func (f *fleet) startWorker(arguments ...string) (*exec.Cmd, string, error) {
	port, err := freePort()
	if err != nil {
		return nil, "", err
	}
	address := fmt.Sprintf("127.0.0.1:%d", port)
	command, err := f.startWorkerAt(address, arguments...)
	return command, address, err
}

func (f *fleet) startWorkerAt(address string, arguments ...string) (*exec.Cmd, error) {
	command := exec.Command(os.Args[0], append([]string{"worker", address}, arguments...)...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	go f.record.runs(output)
	f.own(command)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp4", address); err == nil {
			_ = conn.Close()
			return command, nil
		}
	}
	return nil, fmt.Errorf("worker at %s does not listen", address)
}

// own records a process that is to be ended.
func (f *fleet) own(child *exec.Cmd) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.children = append(f.children, child)
}

// close ends all processes that were started.
func (f *fleet) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, child := range f.children {
		_ = child.Process.Signal(syscall.SIGCONT)
		_ = child.Process.Kill()
	}
	for _, child := range f.children {
		_ = child.Wait()
	}
	f.children = nil
	_ = os.RemoveAll(f.folder)
}

// register writes a worker's entry.
func (f *fleet) register(id, service, address, zone string, slots int, born int64) {
	f.store.put("servers", id, map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "warmupLeftMs": 0,
		"sequence": 1, "born": born,
	})
}

// invariants returns the lines in which nodes report that they broke a promise of their own.
func (f *fleet) invariants() (lines []string) {
	for _, n := range f.nodes {
		data, _ := os.ReadFile(n.log)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "promise broken") {
				lines = append(lines, line)
			}
		}
	}
	return lines
}
