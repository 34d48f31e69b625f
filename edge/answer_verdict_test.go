package edge

import (
	"fmt"
	"slices"
	"strings"
)

// wrong returns the rules that the caller's response breaks.
func (p *answerPlay) wrong() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	got := p.got
	var list []string
	if p.cell.once() {
		if p.runs > 1 {
			list = append(list, "TWICE: a request that must run once ran more often")
		}
		if p.runs > 0 && slices.Contains([]int{408, 421, 429, 503}, got.status) {
			list = append(list, "REFUSED: a request that ran was refused")
		}
	}
	if got.status == 0 {
		if p.cell.served() && p.answers == nil {
			list = append(list, "LOST: no response though the answer was sound")
		}
		return list
	}
	signature := got.header.Get("X-Origin-Signature")
	answer := p.written[signature]
	success := got.status >= 200 && got.status < 300
	switch {
	case signature == "" && success:
		list = append(list, "MIXED: a success without a signature")
	case signature == "" && !slices.Contains([]int{408, 429, 502, 503, 504}, got.status):
		list = append(list, "MIXED: a status that no upstream gave")
	case signature != "" && answer == nil:
		list = append(list, "MIXED: an unknown signature")
	case signature != "" && !answer.own:
		list = append(list, "MIXED: another's or an old answer")
	case signature != "" && answer.status != got.status:
		list = append(list, "MIXED: another status than the upstream's")
	case signature != "" && got.err == nil:
		list = append(list, p.wrongEnd(answer)...)
	}
	if p.answers == nil && p.cell.served() && p.played && !p.isServed() {
		list = append(list, "LOST: a sound answer was not delivered")
	}
	return list
}

// isServed reports whether the caller has the cell's own answer, or another whole one after a refusal.
func (p *answerPlay) isServed() bool {
	want := p.cell.status
	if p.cell.refusal() || p.cell.route == routeContinuation {
		want = 200
	}
	return p.got.err == nil && p.got.status == want && p.got.header.Get("X-Origin-Signature") != ""
}

// wrongEnd checks a response that the caller's client takes for complete.
func (p *answerPlay) wrongEnd(first *writtenAnswer) []string {
	if p.cell.isStream() && first.status == 200 {
		return p.wrongStream(first)
	}
	switch {
	case first.unframed && first.end == endReset:
		return []string{"MIXED: an answer that was reset looks complete"}
	case first.unframed && first.end == endKept:
		return []string{"MIXED: an answer that did not end looks complete"}
	case first.unframed && !p.gotUnframed:
		return []string{"MIXED: an answer without framing was given one"}
	case !first.unframed && !first.complete:
		return []string{"MIXED: an answer that broke off looks complete"}
	case p.got.body != first.body:
		return []string{"MIXED: another body than the upstream's"}
	}
	return nil
}

func (p *answerPlay) wrongStream(first *writtenAnswer) []string {
	if p.gotUnframed {
		return p.wrongUnframedStream(first)
	}
	whole := ""
	for number := 1; number <= answerEvents; number++ {
		whole += fmt.Sprintf("id: %d\ndata: %d\n\n", number, number)
	}
	if p.got.body != whole {
		return []string{"ORDER: a stream that ended as complete has not all events once and in order"}
	}
	for _, answer := range p.written {
		if answer.own && answer.status == 200 && answer.complete && !answer.unframed {
			return nil
		}
	}
	return []string{"ORDER: a stream ended as complete that no upstream ended"}
}

// wrongUnframedStream checks a stream that ended with the caller's connection: the upstream must have ended it so too, and
// nothing that it wrote may show that more was to come.
func (p *answerPlay) wrongUnframedStream(first *writtenAnswer) []string {
	switch {
	case p.cell.route != routeStreamOnce:
		return []string{"ORDER: a stream that may be resumed ended with its connection"}
	case !first.unframed:
		return []string{"ORDER: a stream with framing lost it"}
	case first.end != endClosed:
		return []string{"ORDER: a stream without framing that its upstream did not close looks complete"}
	case p.got.body != first.body:
		return []string{"ORDER: a stream without framing has not all that its upstream wrote"}
	case !strings.HasSuffix(p.got.body, "\n\n"):
		return []string{"ORDER: a stream without framing that has no whole event looks complete"}
	}
	return nil
}
