// Package fleetstore is a stand-in for the table store of the users' platform. It
// follows the published protocol: rows, conditional transactions and a change feed.
// It can lose the feed's history and simulate outages.
package fleetstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Row is one row of a table.
type Row struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schemaVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Knobs are the faults that the store injects. The zero value injects none.
type Knobs struct {
	// Down answers every call with 503.
	Down bool
	// Unresponsive accepts calls and answers none.
	Unresponsive bool
	// Stale serves table reads from a snapshot taken when it was set.
	Stale bool
	// LoseWrites applies this many transactions and closes the connection without an answer.
	LoseWrites int
	// NoEra leaves the header with the store's era out.
	NoEra bool
}

// Store holds the rows. It is safe for concurrent use.
type Store struct {
	mutex   sync.Mutex
	changed chan struct{}
	version int64
	// era is the number of times that the store was restored, plus 1.
	era     int64
	rows    map[string]Row
	history []Row
	// compactedTo is the version up to which the history was dropped.
	compactedTo  int64
	knobs        Knobs
	staleRows    map[string]Row
	staleVersion int64
	started      time.Time
	calls        map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{era: 1, changed: make(chan struct{}), rows: map[string]Row{}, started: time.Now(), calls: map[string]int{}}
}

// Set replaces the knobs.
func (s *Store) Set(knobs Knobs) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if knobs.Stale && !s.knobs.Stale {
		s.staleRows, s.staleVersion = make(map[string]Row, len(s.rows)), s.version
		for id, row := range s.rows {
			s.staleRows[id] = row
		}
	}
	s.knobs = knobs
	s.notifyWatchers()
}

// Calls returns the number of calls by path.
func (s *Store) Calls() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	calls := make(map[string]int, len(s.calls))
	for path, count := range s.calls {
		calls[path] = count
	}
	return calls
}

// Rows returns the number of rows of a table.
func (s *Store) Rows(table string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := 0
	for _, row := range s.rows {
		if row.Table == table {
			rows++
		}
	}
	return rows
}

// Put writes a row, as the operator or an upstream does, and returns the new version.
func (s *Store) Put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic("encode row value: " + err.Error())
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Value: data})
	return s.version
}

// Drop deletes a row.
func (s *Store) Drop(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.write(Row{Table: table, Key: key, Deleted: true})
}

// DropHistory drops the change history, so that feeds from earlier versions get status 410.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compactedTo = nil, s.version
	s.notifyWatchers()
}

// Backup is the state of the store at one moment.
type Backup struct {
	version int64
	rows    map[string]Row
	history []Row
}

// Backup returns a copy of the store.
func (s *Store) Backup() Backup {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Backup{version: s.version, rows: maps.Clone(s.rows), history: slices.Clone(s.history)}
}

// Restore restores the store from a backup: what was written since is lost, versions go back,
// and a new era begins.
func (s *Store) Restore(backup Backup) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version, s.rows, s.history = backup.version, maps.Clone(backup.rows), slices.Clone(backup.history)
	s.era++
	s.notifyWatchers()
}

// write applies one row at the current version. The caller holds the mutex.
func (s *Store) write(row Row) {
	row.Version = s.version
	id := row.Table + "\x00" + row.Part + "\x00" + row.Key
	if row.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	s.history = append(s.history, row)
	s.notifyWatchers()
}

// notifyWatchers wakes the feeds that wait for a change. The caller holds the mutex.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.calls[r.URL.Path]++
	knobs, era := s.knobs, s.era
	s.mutex.Unlock()
	if !knobs.NoEra {
		w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
	}
	if knobs.Unresponsive {
		<-r.Context().Done()
		return
	}
	if knobs.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/v1/rows-get":
		s.get(w, r)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

type response struct {
	Rows     []Row `json:"rows"`
	HasMore  bool  `json:"hasMore"`
	Version  int64 `json:"schemaVersion"`
	ServerMs int64 `json:"serverTimeMs"`
}

func (s *Store) writeResponse(w http.ResponseWriter, status int, body response) {
	body.ServerMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 500
	if requested, err := strconv.Atoi(query.Get("pageLimit")); err == nil && requested > 0 {
		limit = min(limit, requested)
	}
	s.mutex.Lock()
	body, rows := response{Version: s.version}, s.rows
	if s.knobs.Stale {
		body.Version, rows = s.staleVersion, s.staleRows
	}
	for _, row := range rows {
		if row.Table == query.Get("tableName") && row.Part == query.Get("part") && row.Key >= query.Get("source") &&
			(query.Get("target") == "" || row.Key < query.Get("target")) {
			body.Rows = append(body.Rows, row)
		}
	}
	s.mutex.Unlock()
	sort.Slice(body.Rows, func(i, j int) bool { return body.Rows[i].Key < body.Rows[j].Key })
	if len(body.Rows) > limit {
		body.Rows, body.HasMore = body.Rows[:limit], true
	}
	s.writeResponse(w, http.StatusOK, body)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		body, changed := response{Version: s.version}, s.changed
		isCompacted, knobs := since < s.compactedTo || since > s.version, s.knobs
		if !knobs.NoEra {
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		}
		for _, row := range s.history {
			if row.Table == query.Get("tableName") && row.Version > since {
				body.Rows = append(body.Rows, row)
			}
		}
		s.mutex.Unlock()
		switch {
		case knobs.Unresponsive:
			<-r.Context().Done()
			return
		case knobs.Down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case isCompacted:
			s.writeResponse(w, http.StatusGone, response{Version: body.Version})
			return
		case len(body.Rows) > 0:
			s.writeResponse(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.writeResponse(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transaction is the body of a call that writes.
type transaction struct {
	Expected []expectedRow `json:"expectedRevision"`
	Write    []Row         `json:"write"`
	Delete   []Row         `json:"delete"`
}

// expectedRow must have the version, which has to be stated also if it is 0.
type expectedRow struct {
	Row
	Expected *int64 `json:"schemaVersion"`
}

const (
	maxEntries   = 100
	maxTextBytes = 200
)

// valid reports whether all entries are complete and within the limits of the store.
func (t *transaction) valid() bool {
	texts := func(row *Row) bool {
		return row.Table != "" && row.Key != "" && max(len(row.Table), len(row.Part), len(row.Key)) <= maxTextBytes
	}
	for i := range t.Expected {
		if t.Expected[i].Expected == nil || !texts(&t.Expected[i].Row) {
			return false
		}
	}
	for i := range t.Write {
		if t.Write[i].Value == nil || !texts(&t.Write[i]) {
			return false
		}
	}
	for i := range t.Delete {
		if !texts(&t.Delete[i]) {
			return false
		}
	}
	return len(t.Expected)+len(t.Write)+len(t.Delete) <= maxEntries
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if json.NewDecoder(r.Body).Decode(&body) != nil || !body.valid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]Row(nil), body.Write...), body.Delete...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	for _, row := range body.Expected {
		if s.rows[row.Table+"\x00"+row.Part+"\x00"+row.Key].Version != *row.Expected {
			version := s.version
			s.mutex.Unlock()
			s.writeResponse(w, http.StatusPreconditionFailed, response{Version: version})
			return
		}
	}
	s.version++
	for _, row := range body.Write {
		s.write(row)
	}
	for _, row := range body.Delete {
		row.Deleted = true
		s.write(row)
	}
	version, dropResponse := s.version, s.knobs.LoseWrites > 0
	if dropResponse {
		s.knobs.LoseWrites--
	}
	s.mutex.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, http.StatusOK, response{Version: version})
}
