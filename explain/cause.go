package explain

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/exchange"
	"github.com/wigeontiller/wigeontiller/placement"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// cause returns the reason for the request's outcome. The lines are sorted by time.
func (l *Log) cause(lines []Line) string {
	end := l.endLine()
	switch end.Message {
	case "":
		return l.causeWithoutEnd(lines)
	case telemetry.LogNotAdmitted:
		return "not admitted, nothing was sent: " + notAdmittedReason(end, lines)
	}
	switch outcome := end.Text("outcome"); outcome {
	case exchange.Answered:
		if status := int(end.Number("status")); status >= http.StatusInternalServerError {
			return fmt.Sprintf("the upstream's own failure (%d) was passed on after %.0f attempts; %s", status, end.Number("attempts"), l.attemptState(lines))
		}
		return l.latenessCause(end, lines)
	case exchange.CallerDisconnected:
		text := fmt.Sprintf("the caller left after %v; %s", rounded(end.Millis("taken_ms")), l.attemptState(lines))
		if pause := end.Millis("longest_pause_ms"); pause > 0 {
			text += fmt.Sprintf(", with pauses of up to %v", rounded(pause))
		}
		return text
	default:
		return fmt.Sprintf("%s: %s", strings.ReplaceAll(outcome, "_", " "), l.failureReason(end, lines))
	}
}

func rounded(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// causeWithoutEnd explains a request for which no end was logged.
func (l *Log) causeWithoutEnd(lines []Line) string {
	if cut := lastLine(lines, telemetry.LogRequestCut); cut != nil {
		return fmt.Sprintf("its node ended %v after the signal to stop, and cut it; %s", rounded(cut.Millis("since_stop_ms")), l.attemptState(lines))
	}
	if ends := lastLine(lines, telemetry.LogNodeStopped); ends != nil {
		return "its node ended before it had an answer; " + l.attemptState(lines)
	}
	return "no end is logged: the node was killed, or lines were dropped; " + l.attemptState(lines)
}

func notAdmittedReason(end *Line, lines []Line) string {
	reason := end.Text("reason")
	age := rounded(end.Millis("beliefs_age_ms"))
	switch {
	case reason == exchange.ReasonNoView:
		return "the node had just started and knew no document"
	case reason == exchange.ReasonNodeShutdown:
		return "the node was shutting down" + timeBeforeEnd(end, lastLine(lines, telemetry.LogNodeDraining))
	case reason == exchange.ReasonViewTooOld:
		return fmt.Sprintf("what the node knew was %v old%s", age, timeBeforeEnd(end, lastLine(lines, telemetry.LogStoreUnreachable)))
	case strings.HasSuffix(reason, exchange.UnsureSuffix):
		return fmt.Sprintf("its key or route was unknown, to a node whose knowledge was %v old", age)
	}
	return "the document in force has no such " + strings.TrimPrefix(end.Text("outcome"), "no_")
}

// timeBeforeEnd returns how long before the end a line was logged, as text in
// parentheses; it is empty without a line.
func timeBeforeEnd(end, line *Line) string {
	if line == nil {
		return ""
	}
	return fmt.Sprintf(" (%q %v before)", line.Message, rounded(end.At.Sub(line.At)))
}

// failureReason explains an error response that the node itself gave to an admitted request.
func (l *Log) failureReason(end *Line, lines []Line) string {
	reason := end.Text("reason")
	switch placement.Reason(reason) {
	case placement.NoUpstream:
		return "no upstream of the service was in service"
	case placement.TooLarge:
		return "no number of engines that may share a prompt had the memory for it"
	case placement.Busy:
		return "the prompt could not be in time, and the engines read too much to take it until its caller would have left" + busyEngines(end)
	case placement.LimitReached:
		return "all upstreams that might run it state request limits that were used up"
	case placement.TooLate:
		return fmt.Sprintf("it waited %v for a place, until its caller would have left", rounded(end.Millis("taken_ms")))
	}
	switch reason {
	case exchange.ReasonViewTooOld:
		return "what the node knew became too old to send by" + timeBeforeEnd(end, lastLine(lines, telemetry.LogStoreUnreachable))
	case exchange.ReasonNodeShutdown:
		return "the node was shutting down" + timeBeforeEnd(end, lastLine(lines, telemetry.LogNodeDraining)) + "; " + l.attemptState(lines)
	case exchange.ReasonRequestBlocked:
		return "upstreams end when they run it, or prompts with one of its parts, and it is blocked; " + l.attemptState(lines)
	case exchange.ReasonCutOff:
		return "the node reached no upstream of the service, and no other node took the request; " + l.attemptState(lines)
	case exchange.ReasonRetryBudgetSpent:
		return "the retry budget was spent; " + l.attemptState(lines)
	}
	if failed := lastLine(lines, telemetry.LogAttemptFailed); failed != nil {
		return fmt.Sprintf("after %.0f attempts; %s", end.Number("attempts"), l.attemptState(lines))
	}
	return strings.ReplaceAll(reason, "_", " ")
}

// busyEngines describes the engines that were too busy for a prompt.
func busyEngines(end *Line) string {
	if end.Number("engines_at_hand") == 0 {
		return ""
	}
	return fmt.Sprintf(" (%.0f engines wanted, %.0f needed, %.0f at hand, %.2f of their time went to prefill)",
		end.Number("engines_wanted"), end.Number("engines_needed"), end.Number("engines_at_hand"), end.Number("prefill_load"))
}

// attemptState describes how far the last attempt got.
func (l *Log) attemptState(lines []Line) string {
	failed, placed := lastLine(lines, telemetry.LogAttemptFailed), lastLine(lines, telemetry.LogAttemptPlaced)
	switch {
	case placed == nil:
		return "it was never sent"
	case failed == nil || failed.At.Before(placed.At):
		return fmt.Sprintf("its attempt at %s was under way", placed.Text("upstream"))
	}
	return fmt.Sprintf("its attempt at %s %s", failed.Text("upstream"), l.attemptFailure(failed, lines))
}

// attemptFailure derives the cause of a failed attempt from its log line.
func (l *Log) attemptFailure(failed *Line, lines []Line) string {
	text := failed.Text("error")
	status := int(failed.Number("status"))
	upstream := failed.Text("upstream")
	end := l.endLine()
	for i := range lines {
		line := &lines[i]
		if line.Message == telemetry.LogUpstreamUnresponsive && line.Text("upstream") == upstream {
			return "was given up: the upstream was silent"
		}
	}
	switch {
	case strings.Contains(text, "use of closed network connection") || strings.Contains(text, "context"):
		if end.Text("outcome") == exchange.CallerDisconnected {
			return fmt.Sprintf("ended with the caller, after event %.0f", failed.Number("last_event"))
		}
		return "was ended by this node: its time was over"
	case strings.Contains(text, "connection refused"):
		return "found no process at the address"
	case strings.Contains(text, "connection reset"), strings.Contains(text, "EOF"), strings.Contains(text, "broken pipe"):
		return fmt.Sprintf("was cut by the upstream, after event %.0f", failed.Number("last_event"))
	case strings.Contains(text, "timeout"):
		return "got no connection in time"
	case status > 0:
		return fmt.Sprintf("was answered with %d (%s)", status, text)
	}
	return "failed: " + text
}

// latenessCause explains a late response, or states that it was on time.
func (l *Log) latenessCause(end *Line, lines []Line) string {
	target, pauseTarget := end.Millis("latency_target_ms"), end.Millis("pause_target_ms")
	first, pause := end.Millis("first_event_ms"), end.Millis("longest_pause_ms")
	if first == 0 {
		first = end.Millis("taken_ms")
	}
	switch {
	case target > 0 && first > target:
		return fmt.Sprintf("answered late, %v of %v to the first event: %s", rounded(first), target, l.lateFirstEventCause(first, lines))
	case pauseTarget > 0 && pause > pauseTarget:
		return fmt.Sprintf("answered late, with a pause of %v of %v: %s", rounded(pause), pauseTarget, l.pauseCause(end, lines))
	}
	return "answered on time"
}

func (l *Log) lateFirstEventCause(first time.Duration, lines []Line) string {
	placed := lastLine(lines, telemetry.LogAttemptPlaced)
	if placed == nil {
		return "no attempt is logged"
	}
	waited, expected := placed.Millis("waited_ms"), placed.Millis("expected_first_ms")
	attempts := 0
	for i := range lines {
		if lines[i].Message == telemetry.LogAttemptPlaced {
			attempts++
		}
	}
	switch {
	case attempts > 1:
		return fmt.Sprintf("attempt %d gave it, placed after %v; before it, %s", attempts, rounded(waited), l.attemptState(lines[:len(lines)-1]))
	case waited > first/2:
		return fmt.Sprintf("it waited %v for a place", rounded(waited))
	case first-waited > 2*expected:
		return fmt.Sprintf("%s was slower than known: %v expected", placed.Text("upstream"), rounded(expected))
	}
	return fmt.Sprintf("%s had %.0f ms to read before it", placed.Text("upstream"), placed.Number("backlog_ms"))
}

// pauseCause reports which prompts the engine prefilled around the longest pause.
func (l *Log) pauseCause(end *Line, lines []Line) string {
	placed := lastLine(lines, telemetry.LogAttemptPlaced)
	if placed == nil {
		return "no attempt is logged"
	}
	if failed := lastLine(lines, telemetry.LogAttemptFailed); failed != nil {
		return "it went on elsewhere; its first attempt at " + failed.Text("upstream") + " " + l.attemptFailure(failed, lines)
	}
	upstream := placed.Text("upstream")
	pauseEnd := end.At.Add(end.Millis("pause_end_ms") - end.Millis("taken_ms"))
	from := pauseEnd.Add(-2 * end.Millis("longest_pause_ms"))
	prompts, tokens := 0, 0.0
	for i := range l.placedLines {
		line := &l.placedLines[i]
		other := line.Text("request_id") != end.Text("request_id")
		if other && line.At.After(from) && line.At.Before(pauseEnd) && line.usesUpstream(upstream) {
			prompts++
			tokens = max(tokens, line.Number("prompt_tokens"))
		}
	}
	if prompts == 0 {
		return upstream + " read no prompt that these logs name: it was slow"
	}
	return fmt.Sprintf("%s read %d prompts beside it, the longest of %.0f tokens", upstream, prompts, tokens)
}
