// Package explain reads the logs of several nodes and tells what became of one
// request, and why.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/telemetry"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Line is one line of a node's log.
type Line struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	// Fields are all fields of the line, with those above.
	Fields map[string]any `json:"fields"`
}

// Text returns a field, or nothing.
func (l *Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Number returns a field, or 0.
func (l *Line) Number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}

// Millis returns a field of milliseconds.
func (l *Line) Millis(name string) time.Duration {
	return time.Duration(l.Number(name) * float64(time.Millisecond))
}

// uses reports whether an attempt was placed on an upstream, as its lead or a helper.
func (l *Line) uses(upstream string) bool {
	if l.Text("upstream") == upstream {
		return true
	}
	helpers, _ := l.Fields["helpers"].([]any)
	return slices.ContainsFunc(helpers, func(helper any) bool { return helper == upstream })
}

// Read calls each for every line of a log. What stands before the JSON on a line, as
// log collectors write it, and lines without JSON are passed over; their number is
// returned. Errors are those of the reader.
func Read(reader io.Reader, each func(*Line)) (passedOver int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			passedOver++
			continue
		}
		line := Line{}
		if json.Unmarshal(scanner.Bytes()[start:], &line.Fields) != nil || line.Text("message") == "" {
			passedOver++
			continue
		}
		line.At = time.UnixMilli(int64(line.Number("time")))
		line.Node, line.Message = line.Text("node"), line.Text("message")
		each(&line)
	}
	return passedOver, eris.Wrap(scanner.Err(), "read log")
}

// nodeLines are the messages that tell of a node rather than of a request.
var nodeLines = []string{
	telemetry.LogNodeDraining, telemetry.LogNodeStopped, telemetry.LogStoreUnreachable, telemetry.LogStoreReachable,
	telemetry.LogReportFailed, telemetry.LogReportRecovered, telemetry.LogRequestsWaiting, telemetry.LogNoRequestWaiting,
}

// Log holds what an explanation may need of the nodes' logs.
type Log struct {
	// request holds the lines of the request, nodes those that tell of nodes, placed
	// all placements.
	request, nodes, placed []Line
	id                     string
}

// NewLog returns a log for the request with an ID, or the start of one.
func NewLog(id string) *Log { return &Log{id: id} }

// Add takes one line. Lines of one node come in their order.
func (l *Log) Add(line *Line) {
	if id := line.Text("request_id"); id != "" && strings.HasPrefix(id, l.id) {
		l.request = append(l.request, *line)
	}
	if line.Message == telemetry.LogAttemptPlaced {
		l.placed = append(l.placed, *line)
	}
	if slices.Contains(nodeLines, line.Message) {
		l.nodes = append(l.nodes, *line)
	}
}
