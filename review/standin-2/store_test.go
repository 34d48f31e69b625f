package standin2

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's table store.
type row struct {
	Table   string `json:"tableName"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"schemaVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's table store, after PROTOCOL.md: rows-get, rows-feed and rows-tx.
type store struct {
	mutex   sync.Mutex
	changed chan struct{}
	version int64
	rows    map[string]row
	history []row
	started time.Time
}

func newStore() *store {
	return &store{changed: make(chan struct{}), rows: map[string]row{}, started: time.Now()}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// write applies rows as one transaction; the mutex is held.
func (s *store) write(rows ...row) int64 {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		id := rowID(r.Table, r.Part, r.Key)
		if r.Deleted {
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(row{Table: table, Key: key, Value: data})
}

// drop deletes a row as the operator or a worker does.
func (s *store) drop(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(row{Table: table, Key: key, Deleted: true})
}

type storeResponse struct {
	Rows     []row `json:"rows"`
	HasMore  bool  `json:"hasMore"`
	Version  int64 `json:"schemaVersion"`
	ServerMs int64 `json:"serverTimeMs"`
}

func (s *store) respond(w http.ResponseWriter, status int, body storeResponse) {
	body.ServerMs = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/v1/rows-get":
		s.mutex.Lock()
		body := storeResponse{Version: s.version, Rows: []row{}}
		for _, known := range s.rows {
			if known.Table == query.Get("tableName") && known.Part == query.Get("part") && known.Key >= query.Get("source") &&
				(query.Get("target") == "" || known.Key < query.Get("target")) {
				body.Rows = append(body.Rows, known)
			}
		}
		s.mutex.Unlock()
		sort.Slice(body.Rows, func(i, j int) bool { return body.Rows[i].Key < body.Rows[j].Key })
		s.respond(w, http.StatusOK, body)
	case "/v1/rows-feed":
		s.feed(w, r)
	case "/v1/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("sinceRevision"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		body, changed := storeResponse{Version: s.version, Rows: []row{}}, s.changed
		for _, known := range s.history {
			if known.Table == query.Get("tableName") && known.Version > since {
				body.Rows = append(body.Rows, known)
			}
		}
		s.mutex.Unlock()
		if len(body.Rows) > 0 {
			s.respond(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.respond(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expectedRevision"`
		Write    []row `json:"write"`
		Delete   []row `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range append(append([]row(nil), body.Write...), body.Delete...) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	var current []row
	holds := true
	for _, expected := range body.Expected {
		known := s.rows[rowID(expected.Table, expected.Part, expected.Key)]
		holds = holds && known.Version == expected.Version
		if known.Version != 0 {
			current = append(current, known)
		}
	}
	if !holds {
		version := s.version
		s.mutex.Unlock()
		s.respond(w, http.StatusPreconditionFailed, storeResponse{Rows: current, Version: version})
		return
	}
	for i := range body.Delete {
		body.Delete[i].Deleted = true
	}
	version := s.write(append(body.Write, body.Delete...)...)
	s.mutex.Unlock()
	s.respond(w, http.StatusOK, storeResponse{Rows: []row{}, Version: version})
}
