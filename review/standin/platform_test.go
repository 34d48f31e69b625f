//go:build review

package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/wigeontiller/wigeontiller/standin/fleetstore"
)

// platform is the store, and what starts, watches and ends the nodes.
type platform struct {
	record  *record
	store   *fleetstore.Store
	address string
	folder  string
	server  *http.Server
	// nodes are those that stay.
	nodes []*node

	mutex sync.Mutex
	// all are the nodes that were ever made. None is made after closed is set.
	all    []*node
	closed bool
}

// node is one machine of the system.
type node struct {
	name, zone, settings    string
	callers, ready, metrics string

	mutex sync.Mutex
	// exited is closed when the process has ended.
	exited  chan struct{}
	process *os.Process
	stopped bool
}

const host = "shop.example"

func startPlatform(r *record) (*platform, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{record: r, store: fleetstore.New(), address: listener.Addr().String(), folder: folder}
	// The pages know no header with an era.
	p.store.Set(fleetstore.Knobs{NoEra: true})
	p.server = &http.Server{Handler: p.store, ReadHeaderTimeout: time.Minute}
	// The error is that of close.
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// close ends all processes that were started.
func (p *platform) close() {
	p.mutex.Lock()
	p.closed = true
	all := p.all
	p.mutex.Unlock()
	for _, n := range all {
		n.kill(true)
	}
	_ = p.server.Close()
	_ = os.RemoveAll(p.folder)
}

// addNode starts a node of the system and waits until it is ready.
func (p *platform) addNode(zone string) (*node, error) {
	n, err := p.newNode(fmt.Sprintf("edge-%s-%d", zone, len(p.nodes)+1), zone)
	if err != nil {
		return nil, err
	}
	p.nodes = append(p.nodes, n)
	return n, p.start(n)
}

// newNode writes the settings of a node by the template of the deploy file.
func (p *platform) newNode(name, zone string) (*node, error) {
	n := &node{name: name, zone: zone}
	for _, address := range []*string{&n.callers, &n.ready, &n.metrics} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	peers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/edge.yaml")
	if err != nil {
		return nil, err
	}
	_, port, _ := net.SplitHostPort(peers)
	text := fill(string(template), map[string]any{
		"nodeName": n.name, "zone": zone, "zones": map[string]string{"a": "r", "b": "r"}, "listen.frontend": n.callers,
		"listen.readiness": n.ready, "ip": "127.0.0.1", "internalPortRange.0": json.Number(port), "internalPortRange.1": json.Number(port),
		"platform.address": p.address, "bounds.graceS": 8, "bounds.revokeMs": 5000, "bounds.configApplyMs": 2000, "bounds.drainMs": 2000,
		"bounds.retryBudgetRatio": 0.2, "bounds.retryWindowS": 10, "bounds.retryBudgetExtra": 106, "bounds.warmupOvershoot": 1.5,
		"limits.cpuFraction": 0.4, "limits.memoryMb": memoryMB, "limits.maxFds": 4100,
	})
	// All nodes have one IP address here, so that each needs a port of its own.
	text = strings.Replace(text, "127.0.0.1:9102", n.metrics, 1)
	n.settings = filepath.Join(p.folder, n.name+".yaml")
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return nil, errors.New("the case has ended")
	}
	p.all = append(p.all, n)
	return n, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}`)

// fill replaces the placeholders of a template.
func fill(template string, values map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		if name, ok := values[parts[1]].(string); ok && parts[2] == "" {
			return name
		}
		// Only values that can be encoded are given.
		encoded, _ := json.Marshal(values[parts[1]])
		return string(encoded)
	})
}

// freeAddress returns a free loopback address below the ports that the kernel gives to connections, so that it
// stays free while a node restarts.
func freeAddress() (string, error) {
	const firstPort, ports, tries = 20000, 12000, 100
	err := error(nil)
	for range tries {
		var listener net.Listener
		if listener, err = net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))); err == nil {
			_ = listener.Close()
			return listener.Addr().String(), nil
		}
	}
	return "", err
}

// checkRunning returns an error if a node's process has ended by itself.
func (p *platform) checkRunning() error {
	for _, n := range p.nodes {
		n.mutex.Lock()
		exited := n.exited
		n.mutex.Unlock()
		select {
		case <-exited:
			return errors.New(n.name + " has ended by itself")
		default:
		}
	}
	return nil
}

// start starts a node's process and waits until it is ready.
func (p *platform) start(n *node) error {
	if err := p.run(n); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return errors.New(n.name + " is not ready")
}

// run starts a node's process.
func (p *platform) run(n *node) error {
	log, err := os.OpenFile(filepath.Join(p.folder, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/wigeontiller", "edge")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WIGEONTILLER_CONFIG=" + n.settings}
	command.Stdout, command.Stderr = log, log
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stopped {
		return nil
	}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited = command.Process, exited
	go func() {
		// The exit code of a process that was killed tells nothing.
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// kill ends a node's process. With forGood, it is not started again.
func (n *node) kill(forGood bool) {
	n.mutex.Lock()
	n.stopped = n.stopped || forGood
	process, exited := n.process, n.exited
	n.mutex.Unlock()
	if process != nil {
		// The process may have ended.
		_ = process.Kill()
		<-exited
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// log returns what a node has written.
func (p *platform) log(n *node) string {
	data, err := os.ReadFile(filepath.Join(p.folder, n.name+".log"))
	if err != nil {
		return ""
	}
	return string(data)
}
