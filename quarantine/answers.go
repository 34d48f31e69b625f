package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// maxRemembered bounds the answered requests that a node remembers: the latest ones, up to twice as many.
const maxRemembered = 4096

// Answer states that an upstream outlived a request with a feature, at least up to a point of its answer.
type Answer struct {
	Feature uint64
	Point   Point
	At      time.Duration
}

// Point is how far an answer came.
type Point int

const (
	// Whole is an answer that is complete. Its time is when it began: it clears all ends before.
	Whole Point = 0
	// Ended is the same with the time of its end. It shows that not all requests with the feature crash upstreams.
	Ended Point = -1
	// Earlier is a whole answer before the ends, which clears none: the feature was sound at some time.
	Earlier Point = -2
)

// AfterEvents is the point of a stream that went on after that number of events and one more. Its time is that of the
// one more: it clears the ends before, under attempts with that number of events.
func AfterEvents(events int) Point { return Point(events + 1) }

type knownAnswer struct {
	at          time.Duration
	own, unsent bool
	// heard is when this node learned of it.
	heard time.Duration
}

// knownAnswers holds the latest answer of each point.
type knownAnswers map[Point]*knownAnswer

// clears reports whether an answer shows that the feature was not to blame for an end.
func (k knownAnswers) clears(end *knownEnd) bool {
	for _, point := range []Point{Whole, AfterEvents(end.Events)} {
		if answer := k[point]; answer != nil && answer.at > end.At {
			return true
		}
	}
	return false
}

// wasSound reports whether the feature was ever answered, as far as any node remembers.
func (k knownAnswers) wasSound() bool { return k[Whole] != nil || k[Earlier] != nil }

// endedAfter reports whether an answer was complete later than an end.
func (k knownAnswers) endedAfter(end *knownEnd) bool { return k[Ended] != nil && k[Ended].at > end.At }

// RecordAnswer records that an upstream answered a request with the features, which began to be answered at a time, to its
// end. It reports whether that clears any of them.
func (t *Tracker) RecordAnswer(now time.Duration, features []uint64, at time.Duration) bool {
	changed := false
	for _, feature := range features {
		if isRequestFeature(feature) {
			t.remember(feature, at)
		}
		changed = t.addAnswer(now, Answer{Feature: feature, At: at}, true, true) || changed
	}
	if changed {
		t.evaluate(now)
	}
	return changed
}

// RecordStream records that a stream with the features, which began at a time, is complete now. It reports whether that
// changes what is known of any of them.
func (t *Tracker) RecordStream(now time.Duration, features []uint64, began time.Duration) bool {
	changed := false
	for _, feature := range features {
		t.remember(feature, began)
		changed = t.addAnswer(now, Answer{Feature: feature, At: began}, true, true) || changed
		changed = t.addAnswer(now, Answer{Feature: feature, Point: Ended, At: now}, true, true) || changed
	}
	if changed {
		t.evaluate(now)
	}
	return changed
}

// RecordProgress records that a stream with the features went on after a number of events and one more, which arrived at a
// time. It reports whether that clears any of them.
func (t *Tracker) RecordProgress(now time.Duration, features []uint64, events int, at time.Duration) bool {
	changed := false
	for _, feature := range features {
		changed = t.addAnswer(now, Answer{Feature: feature, Point: AfterEvents(events), At: at}, true, true) || changed
	}
	if changed {
		t.evaluate(now)
	}
	return changed
}

func (t *Tracker) remember(feature uint64, at time.Duration) {
	if len(t.remembered) >= maxRemembered {
		t.remembered, t.olderRemembered = map[uint64]time.Duration{}, t.remembered
	}
	t.remembered[feature] = at
}

func (t *Tracker) recall(feature uint64) (time.Duration, bool) {
	if at, found := t.remembered[feature]; found {
		return at, true
	}
	at, found := t.olderRemembered[feature]
	return at, found
}

// addAnswer merges an answer, if it clears a feature of a known end, or is the first one to a feature under which an upstream
// ended.
func (t *Tracker) addAnswer(now time.Duration, answer Answer, own, send bool) bool {
	ends, answers := t.byFeature[answer.Feature], t.answers[answer.Feature]
	known := answers[answer.Point]
	counts := false
	switch {
	case answer.Point == Earlier || answer.Point == Whole && isRequestFeature(answer.Feature) && known == nil:
		counts = known == nil && len(ends) > 0
	case answer.Point == Ended:
		counts = endsBetween(ends, known, answer.At) >= unansweredBlockAfter-1
	case answer.Point == Whole:
		for _, end := range ends {
			counts = counts || end.At < answer.At && (known == nil || known.at <= end.At)
		}
	default:
		for _, end := range ends {
			counts = counts || end.At < answer.At && answer.Point == AfterEvents(end.Events) && !answers.clears(end)
		}
	}
	if !counts {
		return false
	}
	if answers == nil {
		answers = knownAnswers{}
		t.answers[answer.Feature] = answers
	}
	answers[answer.Point] = &knownAnswer{at: answer.At, own: own, unsent: send, heard: now}
	if answer.Point == Whole {
		answers.prune(ends)
	}
	return true
}

// prune removes the answers up to a number of events that clear no end but those that a whole one clears.
func (k knownAnswers) prune(ends []*knownEnd) {
	for point := range k {
		if point > Whole && !slices.ContainsFunc(ends, func(e *knownEnd) bool { return AfterEvents(e.Events) == point && e.At >= k[Whole].at }) {
			delete(k, point)
		}
	}
}

// endsBetween counts the upstreams that ended after a known answer and before a time.
func endsBetween(ends []*knownEnd, known *knownAnswer, until time.Duration) int {
	engines := map[uint32]bool{}
	for _, end := range ends {
		if end.At < until && (known == nil || known.at <= end.At) {
			engines[end.Engine] = true
		}
	}
	return len(engines)
}

// answersOf returns the answers of a scope: those that were not sent yet first, and the latest ones.
func (t *Tracker) answersOf(now time.Duration, scope Scope) []Answer {
	type candidate struct {
		Answer
		known *knownAnswer
	}
	var selected []candidate
	for feature, answers := range t.answers {
		// An answer that keeps a feature from being blocked is told for as long as its ends are known.
		keepsFree := endsBetween(t.byFeature[feature], nil, now+1) >= blockAfter
		for point, answer := range answers {
			if answer.unsent || (scope == All || scope == Own && answer.own) && (keepsFree || now-answer.heard < repeatTime) {
				selected = append(selected, candidate{Answer{Feature: feature, Point: point, At: answer.at}, answer})
			}
		}
	}
	slices.SortFunc(selected, func(a, b candidate) int {
		if a.known.unsent != b.known.unsent {
			if a.known.unsent {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Feature, b.Feature), cmp.Compare(a.Point, b.Point))
	})
	var answers []Answer
	for _, chosen := range selected[:min(len(selected), maxAnswersPerMessage)] {
		chosen.known.unsent = false
		answers = append(answers, chosen.Answer)
	}
	return answers
}
