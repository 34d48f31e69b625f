package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/admin"
)

const (
	// commandTimeout bounds one try of a command and commandPause is the wait
	// before the next.
	commandTimeout = 8 * time.Second
	commandPause   = 250 * time.Millisecond
	// commandPatience bounds all tries of a command that must succeed.
	commandPatience = 30 * time.Second
)

var (
	errNoNode  = eris.New("no node in rotation")
	errRefused = eris.New("command refused")
)

// operators send commands to the nodes and keep what was accepted. The mutex
// guards accepted and promotions.
type operators struct {
	fleet *fleet
	clock *clock
	// last numbers the commands, so that each has its own id.
	last atomic.Int64
	// documents numbers the documents, so that each differs.
	documents atomic.Int64

	mutex      sync.Mutex
	accepted   []Accepted
	promotions []Promotion
}

func newOperators(s *site) *operators {
	o := &operators{fleet: s.fleet, clock: s.clock}
	o.documents.Store(1)
	return o
}

// outcome is the answer to an accepted command.
type outcome struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// command is one command of an operator.
type command struct {
	method, path, body string
	id                 string
}

func (o *operators) newCommand(method, path, body string) command {
	return command{method: method, path: path, body: body, id: fmt.Sprintf("soak-%d", o.last.Add(1))}
}

// once sends a command to a node. Errors: errNoNode, errRefused and those of
// the HTTP library.
func (o *operators) once(ctx context.Context, sent command) (outcome, error) {
	nodes := o.fleet.live()
	if len(nodes) == 0 {
		return outcome{}, errNoNode
	}
	chosen := nodes[rand.IntN(len(nodes))]
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, sent.method, "http://"+chosen.settings.OperatorAddress+sent.path, strings.NewReader(sent.body))
	if err != nil {
		return outcome{}, eris.Wrap(err, "make the command")
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	request.Header.Set(admin.HeaderCommandID, sent.id)
	response, err := httpClient.Do(request)
	if err != nil {
		return outcome{}, eris.Wrap(err, "send the command")
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return outcome{}, eris.Wrap(err, "read the answer")
	}
	if response.StatusCode != http.StatusOK {
		return outcome{}, eris.Wrapf(errRefused, "%d %s", response.StatusCode, text)
	}
	var got outcome
	if err := json.Unmarshal(text, &got); err != nil {
		return outcome{}, eris.Wrap(err, "read the answer")
	}
	o.keep(got.Version)
	return got, nil
}

// keep notes a version that was accepted.
func (o *operators) keep(version uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.accepted = append(o.accepted, Accepted{Version: version, At: o.clock.now()})
}

// insist repeats a command under its id until it is accepted or time is up.
func (o *operators) insist(ctx context.Context, sent command, limit time.Duration) (outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		got, err := o.once(ctx, sent)
		if err == nil || ctx.Err() != nil {
			return got, err
		}
		pause(ctx, commandPause)
	}
}

// pause waits, or returns earlier when the context ends.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// race lets two operators promote over one version at once, and a third after
// them. It returns what came of it.
func (o *operators) race(ctx context.Context, s *site, limit time.Duration) string {
	document := s.document(int(o.documents.Add(1)))
	try := o.newCommand(http.MethodPut, "/admin/v1/environments/"+environmentName+"/trial", string(document))
	tried, err := o.insist(ctx, try, limit)
	if err != nil {
		return "not tried: " + err.Error()
	}
	body := fmt.Sprintf(`{"digest":%q,"replaces":%d}`, tried.Digest, tried.Version)
	var racing sync.WaitGroup
	won := atomic.Int64{}
	promote := func(operator string) {
		_, err := o.once(ctx, o.newCommand(http.MethodPost, "/admin/v1/environments/"+environmentName+"/promote", body))
		if err == nil {
			won.Add(1)
		}
		o.promoted(Promotion{Operator: operator, Replaces: tried.Version, Accepted: err == nil})
	}
	for _, operator := range []string{"first", "second"} {
		racing.Go(func() { promote(operator) })
	}
	racing.Wait()
	promote("late")
	return fmt.Sprintf("%d of 3 accepted", won.Load())
}

func (o *operators) promoted(promotion Promotion) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.promotions = append(o.promotions, promotion)
}

// setState takes a data centre or VM "out" or back "in".
func (o *operators) setState(ctx context.Context, kind, name, state string, limit time.Duration) error {
	_, err := o.insist(ctx, o.newCommand(http.MethodPut, "/admin/v1/"+kind+"/"+name, fmt.Sprintf(`{"state":%q}`, state)), limit)
	return err
}
