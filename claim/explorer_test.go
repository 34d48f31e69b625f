package claim

import (
	"fmt"
	"hash/maphash"
)

// explorer searches all reachable states of the model, depth first.
type explorer struct {
	seeds [2]maphash.Seed
	seen  map[stateHash]bool
	queue []modelState
	// violation describes the first violation of an invariant, or is empty.
	violation string
}

func (e *explorer) add(w modelState) {
	w.normalize()
	key := stateHash{maphash.Comparable(e.seeds[0], w), maphash.Comparable(e.seeds[1], w)}
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	e.queue = append(e.queue, w)
	if e.violation == "" {
		e.violation = checkInvariants(w)
	}
}

// normalize clears values that have no further effect, to reduce the number of
// distinct states.
func (w *modelState) normalize() {
	for i := range w.nodes {
		node := &w.nodes[i]
		switch node.stage {
		case finalizing:
			node.session = Claimant{}
		case ended, crashed:
			*node = modelNode{stage: ended, answer: node.answer, executions: node.executions}
		case notStarted, claiming, holding:
		}
	}
}

// checkInvariants returns a description of the invariant that a state violates, or
// the empty string.
func checkInvariants(w modelState) string {
	if w.executions[0] > 1 || w.executions[1] > 1 {
		return fmt.Sprintf("more than one execution in one use of the key, %d executions before and after its expiry: %+v", w.executions, w)
	}
	if w.claimLost {
		return fmt.Sprintf("held record replaced by another call: %+v", w)
	}
	for _, node := range w.nodes {
		if node.answer == "not_run" && node.executions > 0 {
			return fmt.Sprintf("caller got not_run, but its call was executed: %+v", w)
		}
		if node.answer == "ran" && w.executions == [2]int{} {
			return fmt.Sprintf("caller got ran, but no call was executed: %+v", w)
		}
	}
	return ""
}

func explore() *explorer {
	e := &explorer{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, seen: map[stateHash]bool{}}
	e.add(modelState{})
	for len(e.queue) > 0 && e.violation == "" && len(e.seen) < maxModelStates {
		w := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		e.successors(w)
	}
	return e
}

func (e *explorer) successors(w modelState) {
	if w.phase+1 < len(modelPhases) {
		next := w
		next.phase++
		if next.phase == len(modelPhases)-1 {
			next.delayed, next.delayedCount = [maxModelFaults]modelWrite{}, 0
		}
		e.add(next)
	}
	for i := range w.delayedCount {
		next := w
		next.delayedCount--
		next.delayed[i] = next.delayed[next.delayedCount]
		next.delayed[next.delayedCount] = modelWrite{}
		next.apply(w.delayed[i])
		e.add(next)
	}
	for i := range w.forwardedCount {
		e.sendForwarded(w, i)
	}
	e.sweep(w)
	for i := range w.nodes {
		e.step(w, i)
		if w.faults < faultLimit && w.nodes[i].stage > notStarted && w.nodes[i].stage < ended {
			next := w
			next.faults++
			next.nodes[i].stage = crashed
			e.add(next)
		}
	}
}

// sweep adds the states in which one sweeper removes the row, and another one reads
// the row or removes what it has read.
func (e *explorer) sweep(w modelState) {
	if w.present && w.row.Removable(w.now()) {
		next := w
		next.present, next.row = false, Row{}
		next.removal.outdated = next.removal.read
		e.add(next)
		if !w.removal.read {
			next = w
			next.removal = modelRemoval{read: true, version: w.row.Version}
			e.add(next)
		}
	}
	if !w.removal.read {
		return
	}
	removal := w.removal
	w.removal = modelRemoval{}
	if w.present && w.row.Version == removal.version && !removal.outdated {
		w.claimLost = w.claimLost || !w.row.Removable(w.now())
		w.present, w.row = false, Row{}
	}
	e.add(w)
}

// sendForwarded adds the states in which the writer sends a forwarded write, or
// drops it. A write that is sent takes effect at once or is delayed.
func (e *explorer) sendForwarded(w modelState, i int) {
	forwarded := w.forwarded[i]
	w.takeForwarded(i)
	if forwarded.expired(w.now()) {
		e.add(w)
		return
	}
	delayed := w
	delayed.addDelayed(forwarded.write)
	e.add(delayed)
	w.apply(forwarded.write)
	e.add(w)
}

// apply makes a conditional write and reports whether its condition was met.
func (w *modelState) apply(write modelWrite) bool {
	version := uint64(0)
	if w.present {
		version = w.row.Version
	}
	if version != write.version {
		return false
	}
	if w.present && w.row.State == Held && w.row.Token != write.record.Token && !w.row.Expired(w.now()) {
		w.claimLost = true
	}
	w.present = true
	w.row = Row{Record: write.record, Version: version + 1}
	return true
}

func (e *explorer) step(w modelState, i int) {
	switch w.nodes[i].stage {
	case notStarted:
		w.startCall(i)
		e.add(w)
	case claiming, finalizing:
		e.perform(w, i)
	case holding:
		e.attempt(w, i)
	case ended, crashed:
	}
}

// perform adds the states for each possible result of a node's action.
func (e *explorer) perform(w modelState, i int) {
	switch w.nodes[i].action.Kind {
	case Write:
		e.write(w, i)
	case Read:
		e.read(w, i)
	case Wait:
		next := w
		if next.nodes[i].polls++; next.nodes[i].polls <= 2 {
			e.deliver(next, i, Event{Kind: WaitOver})
		}
	case Dispatch, Answer, Stop:
	}
}

func (e *explorer) write(w modelState, i int) {
	action := w.nodes[i].action
	if !w.now().Before(action.Before) {
		e.deliver(w, i, Event{Kind: WriteRefused})
		return
	}
	write := modelWrite{record: action.Record, version: action.IfVersion}
	next := w
	kind := WriteConflict
	if next.apply(write) {
		kind = WriteApplied
	}
	e.deliver(next, i, Event{Kind: kind})
	if w.faults == faultLimit {
		return
	}
	w.faults++
	e.deliver(w, i, Event{Kind: WriteRefused})
	responseLost := w
	responseLost.apply(write)
	e.deliver(responseLost, i, Event{Kind: WriteUnknown})
	delayed := w
	delayed.addDelayed(write)
	e.deliver(delayed, i, Event{Kind: WriteUnknown})
	appliedAndDelayed := w
	kind = WriteConflict
	if appliedAndDelayed.apply(write) {
		kind = WriteApplied
	}
	appliedAndDelayed.addDelayed(write)
	e.deliver(appliedAndDelayed, i, Event{Kind: kind})
	forwarded := w
	forwarded.addForwarded(write, action.Before)
	e.deliver(forwarded, i, Event{Kind: WriteUnknown})
	appliedAndForwarded := w
	kind = WriteConflict
	if appliedAndForwarded.apply(write) {
		kind = WriteApplied
	}
	appliedAndForwarded.addForwarded(write, action.Before)
	e.deliver(appliedAndForwarded, i, Event{Kind: kind})
}

func (e *explorer) read(w modelState, i int) {
	next := w
	event := Event{Kind: ReadMissing}
	if w.present {
		event = Event{Kind: ReadRow, Row: w.row}
	}
	e.deliver(next, i, event)
	if w.faults < faultLimit {
		failed := w
		failed.faults++
		e.deliver(failed, i, Event{Kind: ReadFailed})
	}
}

// deliver passes a node the result of its action and takes the next action.
func (e *explorer) deliver(w modelState, i int, event Event) {
	node := &w.nodes[i]
	if node.stage == finalizing {
		node.action = node.finalizer.Next(w.now(), event, 0)
		if node.action.Kind == Stop {
			node.stage = ended
		}
		e.add(w)
		return
	}
	node.action = node.session.Next(w.now(), event, 0)
	switch node.action.Kind {
	case Dispatch:
		node.stage = holding
	case Answer:
		w.recordAnswer(i)
	case Write, Read, Wait, Stop:
	}
	e.add(w)
}

func (w *modelState) recordAnswer(i int) {
	node := &w.nodes[i]
	node.stage = ended
	switch node.action.Verdict {
	case Replay:
		node.answer = "ran"
	case OutcomeUnknown:
		node.answer = "may_have_run"
	case KeyReused, InProgress, StoreUnavailable:
		node.answer = "not_run"
	}
	if node.action.Abandon {
		w.startFinalizing(i, Released)
	}
}

func (w *modelState) startFinalizing(i int, outcome State) {
	node := &w.nodes[i]
	node.finalizer = node.session.Settle(w.now(), outcome, nil)
	node.action = node.finalizer.Begin()
	node.stage = finalizing
}

// attempt adds the states for each possible result of sending the call. The check
// and the send are one step; see docs/design/at-most-once.md.
func (e *explorer) attempt(w modelState, i int) {
	if !w.nodes[i].session.MayDispatch(w.now()) {
		e.finish(w, i, false, Released, "not_run")
		return
	}
	e.finish(w, i, true, Done, "ran")
	if w.faults == faultLimit {
		return
	}
	w.faults++
	e.finish(w, i, false, Released, "not_run")
	e.finish(w, i, false, Unknown, "may_have_run")
	e.finish(w, i, true, Unknown, "may_have_run")
	// The holder crashes after the send.
	sentThenCrashed := w
	sentThenCrashed.recordExecution(i)
	sentThenCrashed.nodes[i].stage = crashed
	e.add(sentThenCrashed)
}

func (w *modelState) recordExecution(i int) {
	w.nodes[i].executions++
	w.executions[w.keyUse()]++
}

func (e *explorer) finish(w modelState, i int, executed bool, outcome State, answer string) {
	next := w
	if executed {
		next.recordExecution(i)
	}
	next.nodes[i].answer = answer
	next.startFinalizing(i, outcome)
	e.add(next)
}
