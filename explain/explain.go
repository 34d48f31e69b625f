package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/telemetry"
)

// ErrNotFound is returned for an ID that is in no log line, ErrAmbiguous for the
// prefix of several IDs.
var (
	ErrNotFound  = eris.New("no log line has the request ID")
	ErrAmbiguous = eris.New("several request IDs have this prefix")
)

// contextBefore is how long before a request a fault of its node may have begun and
// still matter: as long as a node serves from its last view.
const contextBefore = 5 * time.Second

// Explanation describes the course and the outcome of one request.
type Explanation struct {
	RequestID string `json:"request_id"`
	// Lines are the log lines of the request and of its nodes and upstreams around
	// it, sorted by time.
	Lines []Line `json:"lines"`
	// Cause is the reason for the outcome, in one sentence.
	Cause string `json:"cause"`
}

// Explain sorts the lines of the request by time and determines the cause. Errors:
// ErrNotFound, ErrAmbiguous.
func (l *Log) Explain() (*Explanation, error) {
	if len(l.requestLines) == 0 {
		return nil, ErrNotFound
	}
	id := l.requestLines[0].Text("request_id")
	for i := range l.requestLines {
		if l.requestLines[i].Text("request_id") != id {
			return nil, ErrAmbiguous
		}
	}
	explained := &Explanation{RequestID: id, Lines: slices.Concat(l.requestLines, l.contextLines())}
	slices.SortStableFunc(explained.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	explained.Cause = l.cause(explained.Lines)
	return explained, nil
}

// contextLines returns the lines about the request's nodes and upstreams from
// contextBefore before its start until its last line.
func (l *Log) contextLines() []Line {
	first, last := l.requestLines[0].At, l.requestLines[0].At
	var nodes, upstreams []string
	for i := range l.requestLines {
		line := &l.requestLines[i]
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
		nodes = append(nodes, line.Node)
		upstreams = append(upstreams, line.Text("upstream"))
	}
	if began := last.Add(-l.endLine().Millis("taken_ms")); began.Before(first) {
		first = began
	}
	var lines []Line
	for i := range l.nodeLines {
		line := &l.nodeLines[i]
		if line.At.Before(first.Add(-contextBefore)) || line.At.After(last) {
			continue
		}
		upstream := line.Text("upstream")
		if upstream == "" && slices.Contains(nodes, line.Node) || upstream != "" && slices.Contains(upstreams, upstream) {
			lines = append(lines, *line)
		}
	}
	return lines
}

// endLine returns the line that ended the request; it is empty if there is none.
func (l *Log) endLine() *Line {
	for i := range l.requestLines {
		if m := l.requestLines[i].Message; m == telemetry.LogRequestEnded || m == telemetry.LogNotAdmitted {
			return &l.requestLines[i]
		}
	}
	return &Line{}
}

// lastLine returns the last line with the message, or nil.
func lastLine(lines []Line, message string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == message {
			return &lines[i]
		}
	}
	return nil
}

// hiddenFields are the fields that Text shows elsewhere or omits.
var hiddenFields = []string{"level", "node", "message", "time", "request_id"}

// Text returns the explanation in human-readable form.
func (e *Explanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", e.RequestID)
	for i := range e.Lines {
		line := &e.Lines[i]
		fmt.Fprintf(&b, "%9.1f ms  %s  %s", float64(line.At.Sub(e.Lines[0].At).Microseconds())/1000, line.Node, line.Message)
		var names []string
		for name := range line.Fields {
			if !slices.Contains(hiddenFields, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(&b, "  %s=%s", name, formatValue(line.Fields[name]))
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "cause: %s\n", e.Cause)
	return b.String()
}

func formatValue(value any) string {
	switch value := value.(type) {
	case float64:
		return fmt.Sprintf("%.6g", value)
	case []any:
		return fmt.Sprintf("%d of them", len(value))
	}
	return fmt.Sprint(value)
}
