package edge

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/reach"
)

const (
	// answerLanes is the number of cells that are tried at a time, each at a service of its own.
	answerLanes = 48
	// hangingDeadline is the deadline of requests whose answer never ends, soundDeadline that of others.
	hangingDeadline = 150 * time.Millisecond
	soundDeadline   = 5 * time.Second
	// keptRecently is how lately a connection was used that a node uses again for any request.
	keptRecently = 150 * time.Millisecond
	// lateRunTime is how long a request that was answered may still run.
	lateRunTime = 300 * time.Millisecond
)

// answerTable runs cells before two nodes. The first reaches no upstream, so that the second serves its callers.
type answerTable struct {
	*fixture
	client *http.Client
	lanes  []*answerLane
}

// answerLane tries one cell after another at two upstreams.
type answerLane struct {
	table     *answerTable
	name      string
	upstreams []*rawUpstream
	mutex     sync.Mutex
	// plays holds the requests by ID; others prepare connections.
	plays     map[string]*answerPlay
	preparing []string
	count     int
}

func newAnswerTable(t *testing.T) *answerTable {
	t.Helper()
	f := newFixtureWithoutUpstreams(t)
	f.retryExtra = 1e9
	transport := &http.Transport{MaxIdleConnsPerHost: answerLanes, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	table := &answerTable{fixture: f, client: &http.Client{Transport: transport}}
	runtime := map[string]any{
		"slots": 16, "kvCapacityTokens": 232000, "stride": 43, "step_ms": 1.02, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048,
	}
	var routes, services []any
	for i := range answerLanes {
		lane := &answerLane{table: table, name: fmt.Sprintf("lane%d", i), plays: map[string]*answerPlay{}}
		service := map[string]any{"name": lane.name}
		kinds := []answerRoute{routeSafe, routeUnsafe}
		if lane.streams() {
			kinds = []answerRoute{routeStream, routeStreamOnce}
			service["runtime"] = runtime
		}
		for _, kind := range kinds {
			name := lane.name + string(kind)
			routes = append(routes, map[string]any{
				"name": name, "host": "h.example", "prefix": "/" + name + "/", "service": lane.name, "timeoutMs": 6000,
				"routeType":       map[answerRoute]string{routeSafe: "safe", routeUnsafe: "unsafe", routeStream: "streaming", routeStreamOnce: "streaming"}[kind],
				"targetLatencyMs": 300, "maxAttempts": 3, "streamResume": kind == routeStream, "gapTargetMs": 250,
			})
		}
		services = append(services, service)
		table.lanes = append(table.lanes, lane)
		for _, number := range []string{"-1", "-2"} {
			lane.upstreams = append(lane.upstreams, f.addRawUpstream(lane.name+number, lane.answer))
		}
	}
	f.version += 3
	f.store.Put("op", "config", map[string]any{
		"version": f.version, "routes": routes, "services": services, "limits": map[string]any{"maxBodyBytes": 1000},
		"tenants": []any{map[string]any{"name": "works", "apiKeys": []string{"key-a"}}},
	})
	f.startNode("edge-0")
	f.startNode("edge-1")
	f.eventually("the nodes don't know each other", func() bool { return len(f.nodes[0].agent.Peers()) > 0 })
	f.nodes[0].link.set(linkRefused)
	for _, lane := range table.lanes {
		f.eventually("the node is not cut off", func() bool {
			if !f.nodes[0].handover.CutOff(lane.name) {
				probe := lane.warming()
				probe.way = wayHop
				lane.play(probe, 0)
			}
			return f.nodes[0].handover.CutOff(lane.name)
		})
	}
	return table
}

var laneNumber = strings.NewReplacer("lane", "")

// streams reports whether the lane is for streams.
func (l *answerLane) streams() bool {
	number, _ := strconv.Atoi(laneNumber.Replace(l.name))
	return number%2 == 1
}

// answer is the script of the lane's upstreams.
func (l *answerLane) answer(call *rawCall) bool {
	l.mutex.Lock()
	play := l.plays[call.id]
	if play == nil {
		l.preparing = append(l.preparing, call.upstream.id)
	}
	l.mutex.Unlock()
	if play != nil {
		return play.answer(call)
	}
	// While one request waits, another is sent to the other upstream.
	const wait, step = 20 * time.Millisecond, time.Millisecond
	for range int(wait / step) {
		l.mutex.Lock()
		both := slices.ContainsFunc(l.preparing, func(id string) bool { return id != call.upstream.id })
		l.mutex.Unlock()
		if both {
			break
		}
		time.Sleep(step)
	}
	sound := (&answerPlay{cell: l.warming()}).sound()
	text, _ := sound.encode(call, call.id, "s.prepared")
	call.write(text)
	return true
}

// warming is a sound cell of the lane.
func (l *answerLane) warming() answerCell {
	cell := answerCell{framing: framedByLength, stop: stopNever, end: endKept, conn: connFresh, id: idOwn, status: 200, route: routeSafe, way: wayDirect}
	if l.streams() {
		cell.framing, cell.route = framedByChunks, routeStream
	}
	return cell
}

func (l *answerLane) newID() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.count++
	return fmt.Sprintf("%s-%d", l.name, l.count)
}

// prepare leaves only connections of a kind to the upstreams, and clears what the nodes hold against them.
func (l *answerLane) prepare(conn answerConn) {
	f := l.table
	node := f.nodes[1]
	node.gate.Do(func(s *placement.Scheduler, now time.Duration) { s.SetReached(now, l.name, true) })
	h := f.nodes[0].handover
	h.mutex.Lock()
	h.peers = reach.NewPeers("z", "", rand.New(rand.NewPCG(1, 1)))
	h.mutex.Unlock()
	const tries = 5
	for range tries {
		ready := true
		for _, u := range l.upstreams {
			kept, others := u.idle(time.Now().Add(-keptRecently))
			if conn == connFresh {
				others = append(others, kept...)
			}
			for _, other := range others {
				_ = other.(*net.TCPConn).Close()
			}
			ready = ready && (conn == connFresh || len(kept) > 0)
		}
		if ready {
			return
		}
		l.mutex.Lock()
		l.preparing = nil
		l.mutex.Unlock()
		var group sync.WaitGroup
		for range l.upstreams {
			group.Go(func() {
				play := &answerPlay{cell: l.warming(), id: l.newID(), written: map[string]*writtenAnswer{}}
				play.call(f.client, node.url, l.path(play), soundDeadline)
			})
		}
		group.Wait()
	}
}

func (l *answerLane) path(p *answerPlay) string {
	route := p.cell.route
	if route == routeContinuation {
		route = routeStream
	}
	return "/" + l.name + string(route) + "/" + p.id
}

// play tries one cell, with the answers of a seed if that is not 0.
func (l *answerLane) play(cell answerCell, seed uint64) *answerPlay {
	return l.playWithin(cell, seed, hangingDeadline)
}

// playWithin is play with the deadline of requests whose answer never ends.
func (l *answerLane) playWithin(cell answerCell, seed uint64, hanging time.Duration) *answerPlay {
	p := &answerPlay{cell: cell, id: l.newID(), written: map[string]*writtenAnswer{}}
	deadline := soundDeadline
	if cell.hangs() || seed != 0 {
		deadline = hanging
	}
	if seed != 0 {
		p.randomize(seed)
	}
	l.mutex.Lock()
	l.plays[p.id] = p
	l.mutex.Unlock()
	url := l.table.nodes[1].url
	if cell.way == wayHop {
		url = l.table.nodes[0].url
	}
	p.call(l.table.client, url, l.path(p), deadline)
	return p
}

// try tries one cell until its answer has been written.
func (l *answerLane) try(cell answerCell) *answerPlay {
	const tries, pause, maxDoublings = 10, 20 * time.Millisecond, 4
	var p *answerPlay
	for i := range tries {
		if i > 0 {
			// Cells of other lanes may make the nodes refuse for a moment.
			time.Sleep(pause)
		}
		l.prepare(cell.conn)
		p = l.playWithin(cell, 0, hangingDeadline<<min(i, maxDoublings))
		p.mutex.Lock()
		played := p.played
		p.mutex.Unlock()
		if played {
			break
		}
	}
	return p
}

// runLanes gives each lane one cell after another, those of streams to lanes for streams.
func runLanes[T any](table *answerTable, list []T, isStream func(T) bool, try func(l *answerLane, item T)) {
	queues := map[bool]chan T{true: make(chan T, len(list)), false: make(chan T, len(list))}
	for _, item := range list {
		queues[isStream(item)] <- item
	}
	close(queues[true])
	close(queues[false])
	var group sync.WaitGroup
	for _, lane := range table.lanes {
		group.Go(func() {
			for item := range queues[lane.streams()] {
				try(lane, item)
			}
		})
	}
	group.Wait()
}

// TestAnswersOfFaultyUpstreams guards against answers that look complete without their end, belong to another
// request, or are a false promise, for all ways in which an upstream may write an answer.
func TestAnswersOfFaultyUpstreams(t *testing.T) {
	table := newAnswerTable(t)
	cells, left := answerCells()
	t.Logf("%d cells; left out: %v", len(cells), left)
	report := &answerReport{}
	began := time.Now()
	runLanes(table, cells, answerCell.isStream, func(l *answerLane, cell answerCell) { report.add(l.try(cell)) })
	t.Logf("all cells took %v", time.Since(began))
	report.check(t)
	onNewConnection := 0
	for _, p := range report.plays {
		switch {
		case p.cell.id == idEarlier && p.played:
			t.Errorf("cell %s: the request was sent again on the connection that had carried it: %s", p.cell, p.seen())
		case p.cell.id == idEarlier:
			// It is sent again on another connection only.
			onNewConnection++
		case p.played:
		default:
			t.Errorf("the answer of cell %s was not asked for: %s", p.cell, p.seen())
		}
	}
	t.Logf("%d cells were not asked for: their request is sent again on a new connection", onNewConnection)
}

// randomize lets the upstreams answer by a seed: with late answers before their own, in pieces.
func (p *answerPlay) randomize(seed uint64) {
	random := rand.New(rand.NewPCG(seed, 31))
	p.answers = func(call *rawCall) []answerCell {
		var list []answerCell
		for range random.IntN(3) {
			late := p.sound()
			late.status = answerKinds[random.IntN(len(answerKinds))]
			late.id = idAnother
			if !call.first {
				late.conn, late.id = connKept, []answerID{idAnother, idNone}[random.IntN(2)]
			}
			if call.repeated && random.IntN(2) == 0 {
				late.id, late.status = idEarlier, []int{421, 503}[random.IntN(2)]
			}
			if late.status == 204 {
				late.framing = unframed
			}
			list = append(list, late)
		}
		for {
			own := p.sound()
			own.framing = []answerFraming{framedByLength, framedByChunks, unframed}[random.IntN(3)]
			own.stop = []answerStop{stopNever, stopNever, stopInHead, stopAfterHead, stopInBody, stopBeforeTerminator}[random.IntN(6)]
			own.end = []answerEnd{endKept, endClosed, endReset}[random.IntN(3)]
			own.status = append(answerKinds, 200, 503, 503)[random.IntN(len(answerKinds)+3)]
			if own.senseless() == "" {
				return append(list, own)
			}
		}
	}
	p.pieces = func(text string) []string {
		var list []string
		for range random.IntN(4) {
			cut := random.IntN(len(text) + 1)
			list, text = append(list, text[:cut]), text[cut:]
		}
		return append(list, text)
	}
}

// TestRandomAnswersOfFaultyUpstreams is the same for random series of answers. WIGEONTILLER_ANSWER_SEEDS, "FIRST-LAST",
// sets the seeds.
func TestRandomAnswersOfFaultyUpstreams(t *testing.T) {
	first, last := answerSeeds(t)
	table := newAnswerTable(t)
	var seeds []uint64
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	cellOf := func(seed uint64) answerCell {
		routes := []answerRoute{routeSafe, routeUnsafe, routeStream, routeStreamOnce}
		cell := answerCell{framing: framedByLength, stop: stopNever, end: endKept, id: idOwn, status: 200}
		cell.route = routes[seed%4]
		cell.way = []answerWay{wayDirect, wayHop}[seed/4%2]
		cell.conn = []answerConn{connFresh, connKept, connKept}[seed%3]
		return cell
	}
	report := &answerReport{}
	runLanes(table, seeds, func(seed uint64) bool { return cellOf(seed).isStream() }, func(l *answerLane, seed uint64) {
		l.prepare(cellOf(seed).conn)
		report.add(l.play(cellOf(seed), seed))
	})
	report.check(t)
}

// answerSeeds returns the seeds of WIGEONTILLER_ANSWER_SEEDS, or some.
func answerSeeds(t *testing.T) (first, last uint64) {
	t.Helper()
	const usual = 2000
	text := os.Getenv("WIGEONTILLER_ANSWER_SEEDS")
	if text == "" {
		return 1, usual
	}
	from, to, _ := strings.Cut(text, "-")
	first, errFirst := strconv.ParseUint(from, 10, 64)
	last, errLast := strconv.ParseUint(to, 10, 64)
	if errFirst != nil || errLast != nil || first == 0 {
		t.Fatalf("WIGEONTILLER_ANSWER_SEEDS is %q, not FIRST-LAST", text)
	}
	return first, last
}
