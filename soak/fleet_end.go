package soak

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// brokenCounter is the metric by which a node tells its own breaches.
	brokenCounter = "wigeontiller_invariant_broken_total"
	// sampleInterval is how often a node is asked for its version.
	sampleInterval = 250 * time.Millisecond
	sampleTimeout  = 2 * time.Second
	// shutdownTimeout is longer than any deadline in the document.
	shutdownTimeout = archiveDeadline + 15*time.Second
	// metricsTimeout bounds a read of the metrics.
	metricsTimeout = 5 * time.Second
)

// end marks the process as ending. It reports false when it already was.
func (f *fleet) end(place int, mark func(life *NodeLife, now time.Duration)) (*process, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	ending := f.places[place]
	if ending.life.Ready == 0 || ending.life.end() > 0 {
		return nil, false
	}
	mark(&ending.life, f.site.clock.now())
	return ending, true
}

// close ends a process at once.
func (f *fleet) close(ctx context.Context, place int) error {
	f.count(ctx, f.at(place))
	ending, ok := f.end(place, func(life *NodeLife, now time.Duration) { life.Closed = now })
	if !ok {
		return errAway
	}
	ending.gate.shut.Store(true)
	err := ending.node.Close()
	f.ended(ending, err)
	return err
}

// shutDown ends a process gracefully.
func (f *fleet) shutDown(ctx context.Context, place int) error {
	ending, ok := f.end(place, func(life *NodeLife, now time.Duration) { life.Leaving = now })
	if !ok {
		return errAway
	}
	f.count(ctx, ending)
	f.listVMs()
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	err := ending.node.Shutdown(ctx)
	f.ended(ending, err)
	return err
}

func (f *fleet) ended(process *process, err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	process.life.Gone = f.site.clock.now()
	if err != nil {
		process.life.Problem = err.Error()
	}
}

// count reads the process's own count of breaches.
func (f *fleet) count(ctx context.Context, process *process) {
	broken, err := readCounter(ctx, "http://"+process.settings.OperatorAddress+"/metrics")
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if err != nil {
		process.life.Problem = "metrics: " + err.Error()
		return
	}
	f.counters = append(f.counters, CounterRead{Node: process.life.Name, Broken: broken})
}

func readCounter(ctx context.Context, url string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, eris.Wrap(err, "make the request")
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, eris.Wrap(err, "read the metrics")
	}
	defer func() { _ = response.Body.Close() }()
	return sumCounter(response.Body)
}

// sumCounter adds up the counters of broken invariants in a text of metrics.
func sumCounter(text io.Reader) (float64, error) {
	total := 0.0
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if !ok || !strings.HasPrefix(name, brokenCounter) {
			continue
		}
		count, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return 0, eris.Wrap(err, "read a counter")
		}
		total += count
	}
	return total, eris.Wrap(lines.Err(), "read the metrics")
}

// sample keeps the process's version until it ends.
func (f *fleet) sample(process *process) {
	for {
		f.mutex.Lock()
		ended := process.life.end() > 0
		f.mutex.Unlock()
		if ended {
			return
		}
		at := f.site.clock.now()
		ctx, cancel := context.WithTimeout(context.Background(), sampleTimeout)
		version := process.node.Status(ctx).Version
		cancel()
		f.mutex.Lock()
		f.versions = append(f.versions, VersionSample{Node: process.life.Name, At: at, Version: version})
		f.mutex.Unlock()
		time.Sleep(sampleInterval)
	}
}
