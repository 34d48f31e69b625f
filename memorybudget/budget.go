// Package memorybudget accounts for the bytes that callers, upstreams and other nodes make a process hold. It
// decides what may still be held; it holds nothing itself.
//
// Lock order: Budget.mutex is a leaf.
package memorybudget

import "sync"

// Kind is what bytes are held for.
type Kind int

// The kinds.
const (
	// Connections are open connections: buffers, stacks, heads of usual size.
	Connections Kind = iota
	// Heads are request heads over the usual size, and requests sent ahead on a connection.
	Heads
	// Bodies are bodies of requests that arrive, wait or are served.
	Bodies
	// Answers are bodies of upstreams' responses.
	Answers
	kinds
)

// String is the kind as metrics name it.
func (k Kind) String() string {
	return [kinds]string{"connections", "heads", "bodies", "answers"}[k]
}

const (
	// SmallBytes is the size up to which a request or an answer may use the whole budget.
	SmallBytes = 16 << 10
	// ConnectionBytes is what an open connection holds: two buffers of 4 KiB, goroutines and a usual head.
	ConnectionBytes = 24 << 10
)

// Budget is the budget of a process. It is safe for concurrent use.
type Budget struct {
	limit int64

	mutex sync.Mutex
	// held are the bytes that are held, and promised those that callers have announced and are sending.
	held, promised int64
	byKind         [kinds]int64
	// byOwner holds the bytes of each owner that holds any.
	byOwner  map[string]int64
	refusals [kinds]int64
	peak     int64
}

// New returns a budget of this many bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, byOwner: map[string]int64{}}
}

// Reservation is what is held for one connection, request or answer. Release must be called at its end.
type Reservation struct {
	budget         *Budget
	kind           Kind
	owners         []string
	held, promised int64
}

// Open returns an empty reservation. Owners, like the organisation and the route, share the budget fairly; an
// empty name is none.
func (b *Budget) Open(kind Kind, owners ...string) *Reservation {
	r := &Reservation{budget: b, kind: kind}
	for _, owner := range owners {
		if owner != "" {
			r.owners = append(r.owners, owner)
		}
	}
	return r
}

// Promise reserves bytes that have been announced, so that what is being sent can be held once it is here. It
// returns false if they can't be held.
func (r *Reservation) Promise(bytes int64) bool {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.allows(r, bytes) {
		b.refusals[r.kind]++
		return false
	}
	r.promised += bytes
	b.promised += bytes
	b.add(r, bytes, false)
	return true
}

// DropPromise gives the announced bytes that have not come back to the budget. Bytes that come later are held
// if there is room then.
func (r *Reservation) DropPromise() {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dropPromise(r)
}

func (b *Budget) dropPromise(r *Reservation) {
	b.promised -= r.promised
	b.add(r, -r.promised, false)
	r.promised = 0
}

// Grow reserves bytes that are about to be held. It returns false if they can't be held.
func (r *Reservation) Grow(bytes int64) bool {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	kept := min(bytes, r.promised)
	if !b.allows(r, bytes-kept) {
		b.refusals[r.kind]++
		return false
	}
	r.promised -= kept
	b.promised -= kept
	b.add(r, -kept, false)
	r.held += bytes
	b.add(r, bytes, true)
	b.peak = max(b.peak, b.held)
	return true
}

// Shrink gives back bytes that are no longer held.
func (r *Reservation) Shrink(bytes int64) {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	bytes = min(bytes, r.held)
	r.held -= bytes
	b.add(r, -bytes, true)
}

// Release gives everything back. Later calls do nothing.
func (r *Reservation) Release() {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.dropPromise(r)
	b.add(r, -r.held, true)
	r.held = 0
}

// add changes the sums; the mutex is held.
func (b *Budget) add(r *Reservation, bytes int64, isHeld bool) {
	if isHeld {
		b.held += bytes
		b.byKind[r.kind] += bytes
	}
	for _, owner := range r.owners {
		if b.byOwner[owner] += bytes; b.byOwner[owner] == 0 {
			delete(b.byOwner, owner)
		}
	}
}

// allows reports whether the reservation may grow by these bytes; the mutex is held.
func (b *Budget) allows(r *Reservation, bytes int64) bool {
	if bytes == 0 {
		return true
	}
	usage := usage{limit: b.limit, used: b.held + b.promised, own: r.held + r.promised, more: bytes}
	for _, owner := range r.owners {
		usage.owner = max(usage.owner, b.byOwner[owner])
	}
	return usage.allowed(r.kind)
}

// UnderPressure reports whether half of the budget or more is in use, so that slow callers are ended.
func (b *Budget) UnderPressure() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.held+b.promised >= b.limit/2
}

// State is a copy of the sums.
type State struct {
	Limit, Held, Promised, Peak int64
	// ByKind and Refusals are the held bytes and the number of refusals, by kind.
	ByKind, Refusals map[string]int64
}

// State returns the sums.
func (b *Budget) State() State {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	state := State{Limit: b.limit, Held: b.held, Promised: b.promised, Peak: b.peak, ByKind: map[string]int64{}, Refusals: map[string]int64{}}
	for kind := range kinds {
		state.ByKind[kind.String()] = b.byKind[kind]
		state.Refusals[kind.String()] = b.refusals[kind]
	}
	return state
}
