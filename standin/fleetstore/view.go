package fleetstore

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
)

// View returns a handler that serves the store as one node sees it: the addresses of upstreams are replaced
// by those that address returns, such as of proxies that stand for the node's own way to them.
func (s *Store) View(address func(of string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		body := replaceAddresses(recorder.Body.Bytes(), address)
		w.WriteHeader(recorder.Code)
		// Fails only if the node has left.
		_, _ = w.Write(body)
	})
}

func replaceAddresses(body []byte, address func(of string) string) []byte {
	var whole map[string]json.RawMessage
	var rows []Row
	if json.Unmarshal(body, &whole) != nil || json.Unmarshal(whole["rows"], &rows) != nil {
		return body
	}
	for i := range rows {
		var entry map[string]any
		if rows[i].Table != "servers" || json.Unmarshal(rows[i].Value, &entry) != nil {
			continue
		}
		if of, ok := entry["address"].(string); ok {
			entry["address"] = address(of)
			rows[i].Value, _ = json.Marshal(entry)
		}
	}
	whole["rows"], _ = json.Marshal(rows)
	replaced, err := json.Marshal(whole)
	if err != nil {
		return body
	}
	return replaced
}
