// Package explain reads the logs of several nodes and reconstructs the course of one
// request and the cause of its outcome.
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

// maxLineBytes is the size limit of one log line.
const maxLineBytes = 1 << 20

// Line is one line of a node's log.
type Line struct {
	At      time.Time `json:"at"`
	Node    string    `json:"node"`
	Message string    `json:"message"`
	// Fields are all fields of the line, including those above.
	Fields map[string]any `json:"fields"`
}

// Text returns a string field, or "" if it is absent.
func (l *Line) Text(name string) string {
	text, _ := l.Fields[name].(string)
	return text
}

// Number returns a numeric field, or 0 if it is absent.
func (l *Line) Number(name string) float64 {
	number, _ := l.Fields[name].(float64)
	return number
}

// Millis returns a field that is in milliseconds, or 0 if it is absent.
func (l *Line) Millis(name string) time.Duration {
	return time.Duration(l.Number(name) * float64(time.Millisecond))
}

// usesUpstream reports whether an attempt was placed on the upstream, as its main engine
// or as a prefill helper.
func (l *Line) usesUpstream(upstream string) bool {
	if l.Text("upstream") == upstream {
		return true
	}
	helpers, _ := l.Fields["helpers"].([]any)
	return slices.ContainsFunc(helpers, func(helper any) bool { return helper == upstream })
}

// Read calls handle for every JSON line of a log. Text before the JSON on a line, as
// log collectors write it, is ignored. Lines without JSON or without a message are
// skipped; their number is returned. Errors are those of the reader and of a line
// above the size limit.
func Read(reader io.Reader, handle func(*Line)) (skippedLines int, err error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			skippedLines++
			continue
		}
		line := Line{}
		if json.Unmarshal(scanner.Bytes()[start:], &line.Fields) != nil || line.Text("message") == "" {
			skippedLines++
			continue
		}
		line.At = time.UnixMilli(int64(line.Number("time")))
		line.Node, line.Message = line.Text("node"), line.Text("message")
		handle(&line)
	}
	return skippedLines, eris.Wrap(scanner.Err(), "read log")
}

// nodeMessages are the messages about a node or an upstream rather than a request.
var nodeMessages = []string{
	telemetry.LogNodeDraining, telemetry.LogNodeStopped, telemetry.LogStoreUnreachable, telemetry.LogStoreReachable,
	telemetry.LogReportFailed, telemetry.LogReportRecovered, telemetry.LogRequestsWaiting, telemetry.LogNoRequestWaiting, telemetry.LogEnginesDivided,
}

// Log collects the log lines that the explanation of one request may need.
type Log struct {
	// requestLines holds the lines of the request, nodeLines the lines about nodes and
	// upstreams, and placedLines the placements of all requests.
	requestLines, nodeLines, placedLines []Line
	id                                   string
}

// NewLog returns a log for the request with the ID, or with the ID prefix.
func NewLog(id string) *Log { return &Log{id: id} }

// Add adds one line. Lines of one node must be added in their order.
func (l *Log) Add(line *Line) {
	if id := line.Text("request_id"); id != "" && strings.HasPrefix(id, l.id) {
		l.requestLines = append(l.requestLines, *line)
	}
	if line.Message == telemetry.LogAttemptPlaced {
		l.placedLines = append(l.placedLines, *line)
	}
	if slices.Contains(nodeMessages, line.Message) {
		l.nodeLines = append(l.nodeLines, *line)
	}
}
