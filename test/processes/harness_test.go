// Package processes tests the built programs, run as separate processes on loopback.
package processes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/environment"
)

const (
	operatorToken = "test-operator"
	callerKey     = "test-key"
	trialKey      = "test-trial-key"
	engineSlots   = 64
	// hangTimeout bounds every wait. It only detects hangs and asserts nothing about speed.
	hangTimeout = 60 * time.Second
)

var programDirectory, keyDirectory string

func TestMain(m *testing.M) {
	if text := os.Getenv(attackVariable); text != "" {
		runAttacks(text)
		return
	}
	if text := os.Getenv(upstreamVariable); text != "" {
		runUpstream(text)
		return
	}
	directory, err := os.MkdirTemp("", "wigeontiller-processes")
	if err != nil {
		panic(err)
	}
	programDirectory = directory
	keyDirectory = filepath.Join(directory, "keys")
	build := exec.Command("go", "build", "-o", directory, "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	makeKeys := exec.Command(filepath.Join(directory, "wigeontiller"), "keys", "new", keyDirectory, "--node", "entry-a", "--node", "entry-b", "--node", "entry-c", "--node", "entry-d")
	makeKeys.Stderr = os.Stderr
	if err := makeKeys.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(directory)
	os.Exit(code)
}

// process is a program under test.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
	// logFile holds what it logged.
	logFile string
}

func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	return startProgram(t, filepath.Join(programDirectory, name), args...)
}

// startProgram starts the program of a file.
func startProgram(t *testing.T, file string, args ...string) *process {
	t.Helper()
	return startWith(t, "WIGEONTILLER_TOKEN="+operatorToken, file, args...)
}

// startWith starts the program of a file with a variable.
func startWith(t *testing.T, variable, file string, args ...string) *process {
	t.Helper()
	name := filepath.Base(file)
	started := &process{command: exec.Command(file, args...), done: make(chan struct{})}
	started.command.Env = append(os.Environ(), variable)
	log, err := os.Create(filepath.Join(t.TempDir(), name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	started.command.Stdout, started.command.Stderr, started.logFile = log, log, log.Name()
	if err := started.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		started.err = started.command.Wait()
		close(started.done)
	}()
	t.Cleanup(func() {
		_ = started.command.Process.Kill()
		<-started.done
		if t.Failed() {
			text, _ := os.ReadFile(log.Name())
			t.Logf("%s %v:\n%s", name, args, text)
		}
	})
	return started
}

func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

func (p *process) waitExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(hangTimeout):
		t.Fatal("process did not exit")
	}
}

const (
	// firstPort and lastPort lie above the ports of the demo and below the system's ephemeral ports. Otherwise an
	// outgoing connection could take an address before its process listens.
	firstPort = 22_000
	lastPort  = 30_000
	// portsPerRun is the number of ports of one run of the tests. Several runs may go on at a time.
	portsPerRun = 400
)

// ports are those of this run. The first is held by a listener until its end, so that no other run takes them.
var ports struct {
	mutex                 sync.Mutex
	held                  net.Listener
	first, previous, last int
}

// claimPorts holds the first block of ports that no other run holds.
func claimPorts(t *testing.T) {
	for first := firstPort; first < lastPort; first += portsPerRun {
		if listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			ports.held = listener
			ports.first, ports.previous, ports.last = first, first, first+portsPerRun
			return
		}
	}
	t.Fatal("no free block of ports")
}

// freeAddress returns a free loopback address. It is given out again only after all others of this run.
func freeAddress(t *testing.T) string {
	t.Helper()
	ports.mutex.Lock()
	defer ports.mutex.Unlock()
	if ports.held == nil {
		claimPorts(t)
	}
	for range portsPerRun {
		if ports.previous++; ports.previous == ports.last {
			ports.previous = ports.first + 1
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.previous)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// node is an entry node under test.
type node struct {
	*process
	callerAddress, operatorAddress, peerAddress string
}

// deployment is a complete deployment: two data centres with a node, an engine and a
// service each, and one platform.
type deployment struct {
	platform string
	engines  []string
	services []string
	nodes    []*node
	// extraSettings are lines appended to every node's settings.
	extraSettings string
}

func startDeployment(t *testing.T) *deployment {
	t.Helper()
	return startDeploymentWith(t, engineSlots, "")
}

// startDeploymentWith starts a deployment whose engines have the given number of slots
// and whose nodes have extra settings.
func startDeploymentWith(t *testing.T, slots int, extraSettings string) *deployment {
	t.Helper()
	s := &deployment{platform: freeAddress(t), extraSettings: extraSettings}
	start(t, "wigeontiller-standin", "platform", "--address", s.platform)
	for range 2 {
		engine, service := freeAddress(t), freeAddress(t)
		start(t, "wigeontiller-standin", "engine", "--address", engine, "--slots", strconv.Itoa(slots), "--token-interval", "20ms")
		start(t, "wigeontiller-standin", "service", "--name", "bookings", "--address", service)
		s.engines = append(s.engines, engine)
		s.services = append(s.services, service)
	}
	peers := []string{freeAddress(t), freeAddress(t)}
	for i, letter := range []string{"a", "b"} {
		s.startNode(t, "entry-"+letter, "dc-"+letter, peers[i], peers)
	}
	return s
}

func (s *deployment) startNode(t *testing.T, name, dataCentre, peer string, seeds []string) *node {
	t.Helper()
	started := &node{callerAddress: freeAddress(t), operatorAddress: freeAddress(t), peerAddress: peer}
	text := fmt.Sprintf(`name: %[1]s
data_centre: %[2]s
region: test
caller_address: %[3]s
operator_address: %[4]s
peer_address: %[5]s
seeds: [%[6]s]
platform_url: http://%[7]s
operator_tokens: [{environment: WIGEONTILLER_TOKEN}]
peer_key: {file: %[8]s/peer.key}
peer_tls: {certificate: {file: %[8]s/%[1]s.crt}, key: {file: %[8]s/%[1]s.key}, root: {file: %[8]s/root.crt}}
shutdown_lag: 300ms
%[9]s`, name, dataCentre, started.callerAddress, started.operatorAddress, peer, strings.Join(seeds, ", "), s.platform, keyDirectory, s.extraSettings)
	file := filepath.Join(t.TempDir(), name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	started.process = start(t, "wigeontiller", "serve", file)
	s.nodes = append(s.nodes, started)
	eventually(t, name+" is ready", func() bool {
		response, err := http.Get("http://" + started.operatorAddress + "/readyz")
		if err != nil {
			return false
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode == http.StatusOK
	})
	return started
}

// document returns an environment document for the deployment.
func (s *deployment) document(weight int) string {
	text := fmt.Sprintf(`name: works
models: [{name: adviser, context_tokens: 1048576}]
organisations:
  - name: dock
    key_digests: ["%s"]
    trial_key_digests: ["%s"]
    weight: %d
    max_priority: urgent
length_classes:
  - {name: short, max_prompt_tokens: 16000, deadline: 30s}
  - {name: archive, max_prompt_tokens: 1000000, deadline: 10m}
engines:
`, environment.KeyDigest(callerKey), environment.KeyDigest(trialKey), weight)
	for i, address := range s.engines {
		text += fmt.Sprintf("  - {name: engine-%d, data_centre: dc-%c, address: %q, vm: engine-vm-%d, models: [adviser], slots: 64, kv_tokens: 400000}\n", i, 'a'+i, address, i)
	}
	text += "services:\n  - name: bookings\n    side_effects: [{method: POST, path: /confirm}]\n    endpoints:\n"
	for i, address := range s.services {
		text += fmt.Sprintf("      - {name: bookings-%d, data_centre: dc-%c, address: %q, vm: service-vm-%d, slots: 64}\n", i, 'a'+i, address, i)
	}
	return text
}

// cli runs an operator command against a node and returns its JSON output.
func (s *deployment) cli(t *testing.T, n *node, args ...string) (map[string]any, error) {
	t.Helper()
	command := exec.Command(filepath.Join(programDirectory, "wigeontiller"), append(args, "--output", "json", "--url", "http://"+n.operatorAddress)...)
	command.Env = append(os.Environ(), "WIGEONTILLER_TOKEN="+operatorToken)
	var stderr strings.Builder
	command.Stderr = &stderr
	output, err := command.Output()
	if err != nil {
		return nil, fmt.Errorf("%v: %w: %s", args, err, stderr.String())
	}
	var reply map[string]any
	if err := json.Unmarshal(output, &reply); err != nil {
		return nil, err
	}
	return reply, nil
}

func (s *deployment) mustCLI(t *testing.T, n *node, args ...string) map[string]any {
	t.Helper()
	reply, err := s.cli(t, n, args...)
	if err != nil {
		t.Fatal(err)
	}
	return reply
}

// promote tries and promotes a document and waits until it is in force at all nodes.
func (s *deployment) promote(t *testing.T, document string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "document.yaml")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	s.mustCLI(t, s.nodes[0], "env", "try", file)
	version := s.mustCLI(t, s.nodes[0], "env", "promote", "works")["version"]
	s.waitVersion(t, version)
}

func (s *deployment) waitVersion(t *testing.T, version any) {
	t.Helper()
	accepted := time.Now()
	defer func() { t.Logf("version %v in force after %v", version, time.Since(accepted)) }()
	for _, n := range s.nodes {
		eventually(t, "the version is in force", func() bool {
			status, err := s.cli(t, n, "status")
			return err == nil && status["version"] == version
		})
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(hangTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reply is the response that a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

func call(ctx context.Context, method, url, body string, header map[string]string) reply {
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host := header["Host"]; host != "" {
		request.Host = host
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

func (n *node) complete(prompt string, tokens int) reply {
	body := fmt.Sprintf(`{"model":"adviser","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	return call(context.Background(), http.MethodPost, "http://"+n.callerAddress+"/v1/chat/completions", body, nil)
}
