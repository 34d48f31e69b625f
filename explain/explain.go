package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/telemetry"
)

// ErrNotFound is returned for an ID that no line of the log bears, ErrSeveral for the
// start of several IDs.
var (
	ErrNotFound = eris.New("no line bears the request ID")
	ErrSeveral  = eris.New("several request IDs begin so")
)

// before is how long before a request a node's own trouble may have begun to matter:
// as long as a node serves by what it knew.
const before = 5 * time.Second

// Explanation is what became of one request.
type Explanation struct {
	RequestID string `json:"request_id"`
	// Lines are the request's own and those of its nodes around it, in order.
	Lines []Line `json:"lines"`
	// Cause says in a sentence why it ended as it did.
	Cause string `json:"cause"`
}

// Explain puts the lines of the request in order and names the cause. Errors:
// ErrNotFound, ErrSeveral.
func (l *Log) Explain() (*Explanation, error) {
	if len(l.request) == 0 {
		return nil, ErrNotFound
	}
	id := l.request[0].Text("request_id")
	for i := range l.request {
		if l.request[i].Text("request_id") != id {
			return nil, ErrSeveral
		}
	}
	explained := &Explanation{RequestID: id, Lines: slices.Concat(l.request, l.around())}
	slices.SortStableFunc(explained.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	explained.Cause = l.cause(explained.Lines)
	return explained, nil
}

// around are the lines that tell of the request's nodes and upstreams at its time.
func (l *Log) around() []Line {
	first, last := l.request[0].At, l.request[0].At
	var nodes, upstreams []string
	for i := range l.request {
		line := &l.request[i]
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
		nodes = append(nodes, line.Node)
		upstreams = append(upstreams, line.Text("upstream"))
	}
	if began := last.Add(-l.end().Millis("taken_ms")); began.Before(first) {
		first = began
	}
	var lines []Line
	for i := range l.nodes {
		line := &l.nodes[i]
		if line.At.Before(first.Add(-before)) || line.At.After(last) {
			continue
		}
		upstream := line.Text("upstream")
		if upstream == "" && slices.Contains(nodes, line.Node) || upstream != "" && slices.Contains(upstreams, upstream) {
			lines = append(lines, *line)
		}
	}
	return lines
}

// end is the line that ended the request; it is empty where none did.
func (l *Log) end() *Line {
	for i := range l.request {
		if m := l.request[i].Message; m == telemetry.LogRequestEnded || m == telemetry.LogNotAdmitted {
			return &l.request[i]
		}
	}
	return &Line{}
}

// last is the last line with a message, or nil.
func last(lines []Line, message string) *Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Message == message {
			return &lines[i]
		}
	}
	return nil
}

// hidden are the fields that Write shows elsewhere or not at all.
var hidden = []string{"level", "node", "message", "time", "request_id"}

// Text returns the explanation for people.
func (e *Explanation) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s\n", e.RequestID)
	for i := range e.Lines {
		line := &e.Lines[i]
		fmt.Fprintf(&b, "%9.1f ms  %s  %s", float64(line.At.Sub(e.Lines[0].At).Microseconds())/1000, line.Node, line.Message)
		var names []string
		for name := range line.Fields {
			if !slices.Contains(hidden, name) {
				names = append(names, name)
			}
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Fprintf(&b, "  %s=%s", name, short(line.Fields[name]))
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "cause: %s\n", e.Cause)
	return b.String()
}

func short(value any) string {
	switch value := value.(type) {
	case float64:
		return fmt.Sprintf("%.6g", value)
	case []any:
		return fmt.Sprintf("%d of them", len(value))
	}
	return fmt.Sprint(value)
}
