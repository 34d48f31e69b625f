package claim

import (
	"fmt"
	"hash/maphash"
)

// explorer collects the states that were seen.
type explorer struct {
	seeds [2]maphash.Seed
	seen  map[state]bool
	queue []world
	// broken is the first breach found.
	broken string
}

func (e *explorer) add(w world) {
	w.forget()
	key := state{maphash.Comparable(e.seeds[0], w), maphash.Comparable(e.seeds[1], w)}
	if e.seen[key] {
		return
	}
	e.seen[key] = true
	e.queue = append(e.queue, w)
	if e.broken == "" {
		e.broken = breach(w)
	}
}

// forget clears what can't matter any more, so that fewer states differ.
func (w *world) forget() {
	for i := range w.nodes {
		node := &w.nodes[i]
		switch node.place {
		case settling:
			node.claimant = Session{}
		case ended, dead:
			*node = modelNode{place: ended, answer: node.answer, runs: node.runs}
		case waiting, claiming, holding:
		}
	}
}

// breach names what must never hold.
func breach(w world) string {
	if w.runs[0] > 1 || w.runs[1] > 1 {
		return fmt.Sprintf("%d executions: %+v", w.runs, w)
	}
	if w.stolen {
		return fmt.Sprintf("held record replaced by another call: %+v", w)
	}
	for _, node := range w.nodes {
		if node.answer == "not_run" && node.runs > 0 {
			return fmt.Sprintf("not_run is false: %+v", w)
		}
		if node.answer == "ran" && w.runs == [2]int{} {
			return fmt.Sprintf("ran is false: %+v", w)
		}
	}
	return ""
}

func explore() *explorer {
	e := &explorer{seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, seen: map[state]bool{}}
	e.add(world{})
	for len(e.queue) > 0 && e.broken == "" && len(e.seen) < modelStates {
		w := e.queue[len(e.queue)-1]
		e.queue = e.queue[:len(e.queue)-1]
		e.successors(w)
	}
	return e
}

func (e *explorer) successors(w world) {
	if w.phase+1 < len(modelPhases) {
		next := w
		next.phase++
		if next.phase == len(modelPhases)-1 {
			next.late, next.lateCount = [mostFaults]modelWrite{}, 0
		}
		e.add(next)
	}
	for i := range w.lateCount {
		next := w
		next.lateCount--
		next.late[i] = next.late[next.lateCount]
		next.late[next.lateCount] = modelWrite{}
		next.apply(w.late[i])
		e.add(next)
	}
	for i := range w.forwardedCount {
		e.sendForwarded(w, i)
	}
	e.sweep(w)
	for i := range w.nodes {
		e.step(w, i)
		if w.faults < modelFaults && w.nodes[i].place > waiting && w.nodes[i].place < ended {
			next := w
			next.faults++
			next.nodes[i].place = dead
			e.add(next)
		}
	}
}

// sweep lets one sweeper remove the row, and the other read it or remove what it
// has read.
func (e *explorer) sweep(w world) {
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
		w.stolen = w.stolen || !w.row.Removable(w.now())
		w.present, w.row = false, Row{}
	}
	e.add(w)
}

// sendForwarded lets the writer send a write that waits there, or drop it. What
// is sent takes effect at once or is on its way.
func (e *explorer) sendForwarded(w world, i int) {
	forwarded := w.forwarded[i]
	w.takeForwarded(i)
	if forwarded.late(w.now()) {
		e.add(w)
		return
	}
	delayed := w
	delayed.delay(forwarded.write)
	e.add(delayed)
	w.apply(forwarded.write)
	e.add(w)
}

// apply makes a conditional write and reports whether its condition held.
func (w *world) apply(write modelWrite) bool {
	version := uint64(0)
	if w.present {
		version = w.row.Version
	}
	if version != write.version {
		return false
	}
	if w.present && w.row.State == Held && w.row.Token != write.record.Token && !w.row.Expired(w.now()) {
		w.stolen = true
	}
	w.present = true
	w.row = Row{Record: write.record, Version: version + 1}
	return true
}

func (e *explorer) step(w world, i int) {
	switch w.nodes[i].place {
	case waiting:
		w.begin(i)
		e.add(w)
	case claiming, settling:
		e.perform(w, i)
	case holding:
		e.send(w, i)
	case ended, dead:
	}
}

// perform branches over what can become of a node's action.
func (e *explorer) perform(w world, i int) {
	switch w.nodes[i].action.Kind {
	case Write:
		e.write(w, i)
	case Read:
		e.read(w, i)
	case Wait:
		next := w
		if next.nodes[i].waits++; next.nodes[i].waits <= 2 {
			e.event(next, i, Event{Kind: WaitOver})
		}
	case Dispatch, Answer, Stop:
	}
}

func (e *explorer) write(w world, i int) {
	action := w.nodes[i].action
	if !w.now().Before(action.Before) {
		e.event(w, i, Event{Kind: WriteRefused})
		return
	}
	write := modelWrite{record: action.Record, version: action.IfVersion}
	next := w
	kind := WriteConflict
	if next.apply(write) {
		kind = WriteApplied
	}
	e.event(next, i, Event{Kind: kind})
	if w.faults == modelFaults {
		return
	}
	w.faults++
	e.event(w, i, Event{Kind: WriteRefused})
	lost := w
	lost.apply(write)
	e.event(lost, i, Event{Kind: WriteUnknown})
	delayed := w
	delayed.delay(write)
	e.event(delayed, i, Event{Kind: WriteUnknown})
	twice := w
	kind = WriteConflict
	if twice.apply(write) {
		kind = WriteApplied
	}
	twice.delay(write)
	e.event(twice, i, Event{Kind: kind})
	waits := w
	waits.forward(write, action.Before)
	e.event(waits, i, Event{Kind: WriteUnknown})
	copied := w
	kind = WriteConflict
	if copied.apply(write) {
		kind = WriteApplied
	}
	copied.forward(write, action.Before)
	e.event(copied, i, Event{Kind: kind})
}

func (e *explorer) read(w world, i int) {
	next := w
	event := Event{Kind: ReadMissing}
	if w.present {
		event = Event{Kind: ReadRow, Row: w.row}
	}
	e.event(next, i, event)
	if w.faults < modelFaults {
		failed := w
		failed.faults++
		e.event(failed, i, Event{Kind: ReadFailed})
	}
}

// event gives a node its outcome and takes the next action.
func (e *explorer) event(w world, i int, event Event) {
	node := &w.nodes[i]
	if node.place == settling {
		node.action = node.settler.Next(w.now(), event, 0)
		if node.action.Kind == Stop {
			node.place = ended
		}
		e.add(w)
		return
	}
	node.action = node.claimant.Next(w.now(), event, 0)
	switch node.action.Kind {
	case Dispatch:
		node.place = holding
	case Answer:
		w.answered(i)
	case Write, Read, Wait, Stop:
	}
	e.add(w)
}

func (w *world) answered(i int) {
	node := &w.nodes[i]
	node.place = ended
	switch node.action.Verdict {
	case Replay:
		node.answer = "ran"
	case OutcomeUnknown:
		node.answer = "may_have_run"
	case KeyReused, InProgress, StoreUnavailable:
		node.answer = "not_run"
	}
	if node.action.Abandon {
		w.settle(i, Released)
	}
}

func (w *world) settle(i int, outcome State) {
	node := &w.nodes[i]
	node.settler = node.claimant.Finalize(w.now(), outcome, nil)
	node.action = node.settler.Begin()
	node.place = settling
}

// send branches over what can become of the attempt. The check and the send
// are one step; see docs/design/at-most-once.md.
func (e *explorer) send(w world, i int) {
	if !w.nodes[i].claimant.MayDispatch(w.now()) {
		e.outcome(w, i, false, Released, "not_run")
		return
	}
	e.outcome(w, i, true, Done, "ran")
	if w.faults == modelFaults {
		return
	}
	w.faults++
	e.outcome(w, i, false, Released, "not_run")
	e.outcome(w, i, false, Unknown, "may_have_run")
	e.outcome(w, i, true, Unknown, "may_have_run")
	// The holder dies after the send.
	died := w
	died.ran(i)
	died.nodes[i].place = dead
	e.add(died)
}

func (w *world) ran(i int) {
	w.nodes[i].runs++
	w.runs[w.period()]++
}

func (e *explorer) outcome(w world, i int, ran bool, kept State, answer string) {
	next := w
	if ran {
		next.ran(i)
	}
	next.nodes[i].answer = answer
	next.settle(i, kept)
	e.add(next)
}
