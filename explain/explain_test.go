package explain

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// logOf returns the log of a request ID or prefix, read from JSON lines.
func logOf(id string, lines ...string) *Log {
	log := NewLog(id)
	// Read returns only errors of the reader and of overlong lines; there are none here.
	_, _ = Read(strings.NewReader(strings.Join(lines, "\n")), log.Add)
	return log
}

func line(node string, at int, message, fields string) string {
	if fields != "" {
		fields = "," + fields
	}
	return fmt.Sprintf(`{"node":%q,"time":%d,"message":%q%s}`, node, at, message, fields)
}

func placed(at int, id, upstream, fields string) string {
	return line("n1", at, "attempt placed", fmt.Sprintf(`"request_id":%q,"upstream":%q%s`, id, upstream, fields))
}

func failed(at int, err string, status int) string {
	return line("n1", at, "attempt failed", fmt.Sprintf(`"request_id":"r1","upstream":"u1","error":%q,"status":%d,"last_event":7`, err, status))
}

func ended(at int, fields string) string {
	return line("n1", at, "request ended", `"request_id":"r1",`+fields)
}

func TestExplainNamesCause(t *testing.T) {
	first := placed(1000, "r1", "u1", `,"expected_first_ms":60,"waited_ms":1,"backlog_ms":40`)
	for name, test := range map[string]struct {
		lines []string
		want  string
	}{
		"not admitted, stale view": {[]string{
			line("n1", 2000, "store lost", ""),
			line("n1", 7000, "request not admitted", `"request_id":"r1","outcome":"unavailable","reason":"beliefs_too_old","beliefs_age_ms":4900`),
		}, `what the node knew was 4.9s old ("store lost" 5s before)`},
		"not admitted, no key": {[]string{
			line("n1", 7000, "request not admitted", `"request_id":"r1","outcome":"no_key","reason":""`),
		}, "the document in force has no such key"},
		"not admitted, unknown route in stale view": {[]string{
			line("n1", 7000, "request not admitted", `"request_id":"r1","outcome":"unavailable","reason":"no_route_unsure","beliefs_age_ms":3000`),
		}, "unknown, to a node whose knowledge was 3s old"},
		"cut by the node's end": {[]string{
			first, line("n1", 9000, "request cut, the node ends", `"request_id":"r1","since_stop_ms":5500`),
		}, "its node ended 5.5s after the signal to stop, and cut it; its attempt at u1 was under way"},
		"busy":               {[]string{ended(1000, `"outcome":"overloaded","reason":"busy"`)}, "the engines read too much"},
		"busy, with figures": {[]string{ended(1000, `"outcome":"overloaded","reason":"busy","engines_wanted":16,"engines_needed":2,"engines_at_hand":120,"prefill_load":0.35`)}, "(16 engines wanted, 2 needed, 120 at hand, 0.35 of their time went to prefill)"},
		"waited too long":    {[]string{ended(9000, `"outcome":"overloaded","reason":"too_late","taken_ms":8000`)}, "waited 8s"},
		"request blocked":    {[]string{first, failed(1010, "unexpected EOF", 200), ended(1011, `"outcome":"upstream_failed","reason":"request_blocked","attempts":1`)}, "upstreams end when they run it"},
		"limit reached":      {[]string{ended(1000, `"outcome":"overloaded","reason":"request_limit"`)}, "request limits that were used up"},
		"refused":            {[]string{first, failed(1010, "not run", 503), ended(1011, `"outcome":"overloaded","reason":"upstream_refused","attempts":1`)}, "u1 was answered with 503 (not run)"},
		"connection refused": {[]string{first, failed(1010, "dial: connection refused", 0), ended(1011, `"outcome":"upstream_failed","reason":"upstream_unreachable","attempts":1`)}, "found no process"},
		"stream cut":         {[]string{first, failed(1010, "unexpected EOF", 200), ended(1011, `"outcome":"broken_off","reason":"stream_broke_off","attempts":1`)}, "cut by the upstream, after event 7"},
		"unresponsive upstream": {[]string{first,
			line("n1", 3000, "upstream is silent", `"request_id":"r1","upstream":"u1"`),
			failed(3000, "use of closed network connection", 0), ended(3001, `"outcome":"upstream_failed","reason":"upstream_broke_off","attempts":1`),
		}, "the upstream was silent"},
		"error of the upstream": {[]string{first, failed(1010, "upstream failed", 500), ended(1011, `"outcome":"answered","status":500,"attempts":1`)}, "the upstream's own failure (500)"},
		"caller disconnected":   {[]string{first, failed(9000, "use of closed network connection", 200), ended(9000, `"outcome":"caller_left","taken_ms":8000,"longest_pause_ms":900`)}, "the caller left after 8s; its attempt at u1 ended with the caller, after event 7, with pauses of up to 900ms"},
		"no end logged":         {[]string{first}, "no end is logged"},
		"node ends":             {[]string{first, line("n1", 1000, "node ends", "")}, "its node ended before it had an answer"},
		"on time":               {[]string{first, ended(1100, `"outcome":"answered","latency_target_ms":300,"first_event_ms":90,"taken_ms":100`)}, "answered on time"},
		"slow engine":           {[]string{first, ended(1900, `"outcome":"answered","latency_target_ms":300,"first_event_ms":800,"taken_ms":900`)}, "u1 was slower than known: 60ms expected"},
		"backlog":               {[]string{placed(1000, "r1", "u1", `,"expected_first_ms":390,"backlog_ms":310`), ended(1900, `"outcome":"answered","latency_target_ms":300,"first_event_ms":400,"taken_ms":900`)}, "u1 had 310 ms to read before it"},
		"queued":                {[]string{placed(1700, "r1", "u1", `,"expected_first_ms":60,"waited_ms":700`), ended(1900, `"outcome":"answered","latency_target_ms":300,"first_event_ms":800,"taken_ms":900`)}, "it waited 700ms for a place"},
		"pause": {[]string{
			first, placed(1200, "r2", "u2", `,"prompt_tokens":90000,"helpers":["u3","u1"]`), placed(1250, "r3", "u4", `,"prompt_tokens":190000`),
			ended(1900, `"outcome":"answered","latency_target_ms":300,"pause_target_ms":250,"first_event_ms":90,"longest_pause_ms":400,"pause_end_ms":600,"taken_ms":900`),
		}, "with a pause of 400ms of 250ms: u1 read 1 prompts beside it, the longest of 90000 tokens"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			explained, err := logOf("r1", test.lines...).Explain()
			is.NoErr(err)
			if !strings.Contains(explained.Cause, test.want) {
				t.Fatalf("cause %q does not contain %q", explained.Cause, test.want)
			}
		})
	}
}

func TestExplainOrdersLinesOfSeveralNodes(t *testing.T) {
	is := is.New(t)
	explained, err := logOf("r",
		"  12.3 n1 "+ended(1200, `"outcome":"answered","taken_ms":200`),
		placed(1000, "r1", "u1", ""),
		"no JSON here", `{"message":""}`,
		line("n2", 900, "engine does not report", `"upstream":"u1"`),
		line("n2", 950, "store lost", ""),
		line("n3", 950, "engine does not report", `"upstream":"u9"`),
	).Explain()
	is.NoErr(err)
	is.Equal(explained.RequestID, "r1")
	var messages []string
	for _, l := range explained.Lines {
		messages = append(messages, l.Message)
	}
	is.Equal(messages, []string{"engine does not report", "attempt placed", "request ended"})
	is.True(strings.Contains(explained.Text(), "cause: "))
}

func TestExplainRejectsUnknownAndAmbiguousIDs(t *testing.T) {
	is := is.New(t)
	_, err := logOf("x", placed(1, "r1", "u", "")).Explain()
	is.True(errors.Is(err, ErrNotFound))
	_, err = logOf("r", placed(1, "r1", "u", ""), placed(1, "r2", "u", "")).Explain()
	is.True(errors.Is(err, ErrAmbiguous))
}

func TestReadCountsSkippedLinesAndRejectsLongLine(t *testing.T) {
	is := is.New(t)
	passed, err := Read(strings.NewReader("a\n{\n"+ended(1, `"outcome":"x"`)+"\n"), func(*Line) {})
	is.NoErr(err)
	is.Equal(passed, 2)
	_, err = Read(strings.NewReader(strings.Repeat("x", maxLineBytes+1)), func(*Line) {})
	is.True(err != nil)
}
