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

func (e *explorer) add(m modelState) {
	m.normalize()
	key := stateHash{maphash.Comparable(e.seeds[0], m), maphash.Comparable(e.seeds[1], m)}
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	e.queue = append(e.queue, m)
	if e.violation == "" {
		e.violation = checkInvariants(m)
	}
}

// normalize clears values that have no further effect, to reduce the number of
// distinct states.
func (m *modelState) normalize() {
	for i := range m.nodes {
		node := &m.nodes[i]
		switch node.stage {
		case finalizing:
			node.session = Session{}
		case ended, crashed:
			*node = modelNode{stage: ended, answer: node.answer, executions: node.executions}
		case notStarted, claiming, holding:
		}
	}
}

// checkInvariants returns a description of the invariant that a state violates, or
// the empty string.
func checkInvariants(m modelState) string {
	if m.executions[0] > 1 || m.executions[1] > 1 {
		return fmt.Sprintf("more than one execution in one use of the key, %d executions before and after its expiry: %+v", m.executions, m)
	}
	if m.claimLost {
		return fmt.Sprintf("held record replaced by another call: %+v", m)
	}
	for _, node := range m.nodes {
		if node.answer == "not_run" && node.executions > 0 {
			return fmt.Sprintf("caller got not_run, but its call was executed: %+v", m)
		}
		if node.answer == "ran" && m.executions == [2]int{} {
			return fmt.Sprintf("caller got ran, but no call was executed: %+v", m)
		}
	}
	return ""
}

func explore() *explorer {
	e := &explorer{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, seen: map[stateHash]bool{}}
	e.add(modelState{})
	for len(e.queue) > 0 && e.violation == "" && len(e.seen) < maxModelStates {
		m := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		e.successors(m)
	}
	return e
}

func (e *explorer) successors(m modelState) {
	if m.phase+1 < len(modelPhases) {
		next := m
		next.phase++
		if next.phase == len(modelPhases)-1 {
			next.delayed, next.delayedCount = [maxModelFaults]modelWrite{}, 0
		}
		e.add(next)
	}
	for i := range m.delayedCount {
		next := m
		next.delayedCount--
		next.delayed[i] = next.delayed[next.delayedCount]
		next.delayed[next.delayedCount] = modelWrite{}
		next.apply(m.delayed[i])
		e.add(next)
	}
	for i := range m.forwardedCount {
		e.sendForwarded(m, i)
	}
	e.sweep(m)
	for i := range m.nodes {
		e.step(m, i)
		if m.faults < faultLimit && m.nodes[i].stage > notStarted && m.nodes[i].stage < ended {
			next := m
			next.faults++
			next.nodes[i].stage = crashed
			e.add(next)
		}
	}
}

// sweep adds the states in which one sweeper removes the row, and another one reads
// the row or removes what it has read.
func (e *explorer) sweep(m modelState) {
	if m.present && m.row.Removable(m.now()) {
		next := m
		next.present, next.row = false, Row{}
		next.removal.outdated = next.removal.read
		e.add(next)
		if !m.removal.read {
			next = m
			next.removal = modelRemoval{read: true, version: m.row.Version}
			e.add(next)
		}
	}
	if !m.removal.read {
		return
	}
	removal := m.removal
	m.removal = modelRemoval{}
	if m.present && m.row.Version == removal.version && !removal.outdated {
		m.claimLost = m.claimLost || !m.row.Removable(m.now())
		m.present, m.row = false, Row{}
	}
	e.add(m)
}

// sendForwarded adds the states in which the writer sends a forwarded write, or
// drops it. A write that is sent takes effect at once or is delayed.
func (e *explorer) sendForwarded(m modelState, i int) {
	forwarded := m.forwarded[i]
	m.takeForwarded(i)
	if forwarded.expired(m.now()) {
		e.add(m)
		return
	}
	delayed := m
	delayed.addDelayed(forwarded.write)
	e.add(delayed)
	m.apply(forwarded.write)
	e.add(m)
}

// apply makes a conditional write and reports whether its condition was met.
func (m *modelState) apply(write modelWrite) bool {
	version := uint64(0)
	if m.present {
		version = m.row.Version
	}
	if version != write.version {
		return false
	}
	if m.present && m.row.State == Held && m.row.Token != write.record.Token && !m.row.Expired(m.now()) {
		m.claimLost = true
	}
	m.present = true
	m.row = Row{Record: write.record, Version: version + 1}
	return true
}

func (e *explorer) step(m modelState, i int) {
	switch m.nodes[i].stage {
	case notStarted:
		m.startCall(i)
		e.add(m)
	case claiming, finalizing:
		e.perform(m, i)
	case holding:
		e.attempt(m, i)
	case ended, crashed:
	}
}

// perform adds the states for each possible result of a node's action.
func (e *explorer) perform(m modelState, i int) {
	switch m.nodes[i].action.Kind {
	case Write:
		e.write(m, i)
	case Read:
		e.read(m, i)
	case Wait:
		next := m
		if next.nodes[i].polls++; next.nodes[i].polls <= 2 {
			e.deliver(next, i, Event{Kind: WaitOver})
		}
	case Dispatch, Answer, Stop:
	}
}

func (e *explorer) write(m modelState, i int) {
	action := m.nodes[i].action
	if !m.now().Before(action.Before) {
		e.deliver(m, i, Event{Kind: WriteRefused})
		return
	}
	write := modelWrite{record: action.Record, version: action.IfVersion}
	next := m
	kind := WriteConflict
	if next.apply(write) {
		kind = WriteApplied
	}
	e.deliver(next, i, Event{Kind: kind})
	if m.faults == faultLimit {
		return
	}
	m.faults++
	e.deliver(m, i, Event{Kind: WriteRefused})
	responseLost := m
	responseLost.apply(write)
	e.deliver(responseLost, i, Event{Kind: WriteUnknown})
	delayed := m
	delayed.addDelayed(write)
	e.deliver(delayed, i, Event{Kind: WriteUnknown})
	appliedAndDelayed := m
	kind = WriteConflict
	if appliedAndDelayed.apply(write) {
		kind = WriteApplied
	}
	appliedAndDelayed.addDelayed(write)
	e.deliver(appliedAndDelayed, i, Event{Kind: kind})
	forwarded := m
	forwarded.addForwarded(write, action.Before)
	e.deliver(forwarded, i, Event{Kind: WriteUnknown})
	appliedAndForwarded := m
	kind = WriteConflict
	if appliedAndForwarded.apply(write) {
		kind = WriteApplied
	}
	appliedAndForwarded.addForwarded(write, action.Before)
	e.deliver(appliedAndForwarded, i, Event{Kind: kind})
}

func (e *explorer) read(m modelState, i int) {
	next := m
	event := Event{Kind: ReadMissing}
	if m.present {
		event = Event{Kind: ReadRow, Row: m.row}
	}
	e.deliver(next, i, event)
	if m.faults < faultLimit {
		failed := m
		failed.faults++
		e.deliver(failed, i, Event{Kind: ReadFailed})
	}
}

// deliver passes a node the result of its action and takes the next action.
func (e *explorer) deliver(m modelState, i int, event Event) {
	node := &m.nodes[i]
	if node.stage == finalizing {
		node.action = node.finalizer.Next(m.now(), event, 0)
		if node.action.Kind == Stop {
			node.stage = ended
		}
		e.add(m)
		return
	}
	node.action = node.session.Next(m.now(), event, 0)
	switch node.action.Kind {
	case Dispatch:
		node.stage = holding
	case Answer:
		m.recordAnswer(i)
	case Write, Read, Wait, Stop:
	}
	e.add(m)
}

func (m *modelState) recordAnswer(i int) {
	node := &m.nodes[i]
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
		m.startFinalizing(i, Released)
	}
}

func (m *modelState) startFinalizing(i int, outcome State) {
	node := &m.nodes[i]
	node.finalizer = node.session.Finalize(m.now(), outcome, nil)
	node.action = node.finalizer.Begin()
	node.stage = finalizing
}

// attempt adds the states for each possible result of sending the call. The check
// and the send are one step; see docs/design/at-most-once.md.
func (e *explorer) attempt(m modelState, i int) {
	if !m.nodes[i].session.MayDispatch(m.now()) {
		e.finish(m, i, false, Released, "not_run")
		return
	}
	e.finish(m, i, true, Done, "ran")
	if m.faults == faultLimit {
		return
	}
	m.faults++
	e.finish(m, i, false, Released, "not_run")
	e.finish(m, i, false, Unknown, "may_have_run")
	e.finish(m, i, true, Unknown, "may_have_run")
	// The holder crashes after the send.
	sentThenCrashed := m
	sentThenCrashed.recordExecution(i)
	sentThenCrashed.nodes[i].stage = crashed
	e.add(sentThenCrashed)
}

func (m *modelState) recordExecution(i int) {
	m.nodes[i].executions++
	m.executions[m.keyUse()]++
}

func (e *explorer) finish(m modelState, i int, executed bool, outcome State, answer string) {
	next := m
	if executed {
		next.recordExecution(i)
	}
	next.nodes[i].answer = answer
	next.startFinalizing(i, outcome)
	e.add(next)
}
