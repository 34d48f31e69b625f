package edge

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// A request without an ID gets one answer at once, the one that upstreams would give, and reaches none.
func TestRequestWithoutSingleIDIsRefusedAtOnce(t *testing.T) {
	for name, change := range map[string]func(r *http.Request){
		"none":          func(r *http.Request) { r.Header.Del("X-Attempt-Id") },
		"empty":         func(r *http.Request) { r.Header.Set("X-Attempt-Id", "") },
		"two":           func(r *http.Request) { r.Header.Add("X-Attempt-Id", "another") },
		"not forwarded": func(r *http.Request) { r.Header.Set("Connection", "X-Attempt-Id") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, 1)
			for _, route := range []string{"chat", "book", "look"} {
				got := f.call(0, route, "key-a", change)
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusBadRequest)
				is.Equal(got.body, `{"error":"bad_request"}`)
				is.Equal(got.header.Get("Retry-After"), "")
			}
			is.Equal(len(f.runs()), 0)
			// Which configuration is in force shows without an ID too.
			is.Equal(f.call(0, "none", "key-a", change).status, http.StatusNotFound)
			is.Equal(f.call(0, "book", "wrong", change).status, http.StatusUnauthorized)
			is.Equal(f.call(0, "book", "key-a", nil).status, http.StatusOK)
		})
	}
}

// More requests with one ID than an upstream has places, at the same time, leave it usable.
func TestEqualIDsLeaveUpstreamsUsable(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	sameID := func(r *http.Request) { r.Header.Set("X-Attempt-Id", "same") }
	for range 4 {
		done := make(chan callResult)
		const callers = 30
		for range callers {
			go func() { done <- f.call(0, "look", "key-a", sameID) }()
		}
		for range callers {
			got := <-done
			is.NoErr(got.err)
		}
	}
	for range 20 {
		is.Equal(f.call(0, "look", "key-a", nil).status, http.StatusOK)
	}
}
