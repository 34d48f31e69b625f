package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/fleetengine"
	"github.com/wigeontiller/wigeontiller/standin/fleetstore"
)

func TestTheWholePath(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 2)
	for node := range 2 {
		got := s.call(node, "chat", "key-a", nil)
		is.NoErr(got.err)
		is.Equal(got.status, 200)
		is.Equal(strings.Count(got.body, "data: piece"), 8)
		is.True(got.header.Get("X-Origin-Signature") != "")
		got = s.call(node, "book", "key-b", nil)
		is.Equal(got.status, 200)
		is.True(strings.Contains(got.body, "/book/x?y=1"))
	}
	for _, run := range s.runs() {
		is.Equal(run.Organisation, "works")
		is.Equal(run.Header.Get("Authorization"), "")
		is.Equal(run.Body, "body")
	}
	is.Equal(s.call(0, "chat", "wrong", nil).status, 401)
	is.Equal(s.call(0, "none", "key-a", nil).status, 404)
	is.Equal(s.call(0, "book", "key-a", func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
	}).status, 413)
}

func TestAFailureOfOurOwnBearsNothingOfAnUpstream(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	for _, engine := range s.engines {
		engine.Set(fleetengine.Knobs{Full: true})
	}
	got := s.call(0, "book", "key-a", nil)
	is.Equal(got.status, 503)
	is.Equal(got.header.Get("X-Origin-Signature"), "")
	is.Equal(got.header.Get("X-Not-Executed"), "")
	is.True(got.header.Get("Retry-After") != "")
	is.Equal(len(s.runs()), 0)
}

func TestAnUpstreamsFailureIsPassedOn(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	for _, engine := range s.engines {
		engine.Set(fleetengine.Knobs{Status: 500})
	}
	got := s.call(0, "book", "key-a", nil)
	is.Equal(got.status, 500)
	is.True(got.header.Get("X-Origin-Signature") != "")
	is.Equal(len(s.runs()), 1)
}

func TestABrokenStreamGoesOnAtAnotherEngine(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.engines["llm-1"].Set(fleetengine.Knobs{BreakAfter: 3})
	s.engines["llm-2"].Set(fleetengine.Knobs{BreakAfter: 3})
	resumed := false
	for range 12 {
		got := s.call(0, "chat", "key-a", nil)
		if got.err != nil {
			continue // both engines allowed broke off; the caller sees it
		}
		is.Equal(strings.Count(got.body, "data: piece"), 8)
		is.Equal(strings.Count(got.body, "id: 4\n"), 1)
	}
	for _, run := range s.runs() {
		resumed = resumed || run.After == 3
	}
	is.True(resumed)
}

func TestAStreamCutForGoodDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	for _, engine := range s.engines {
		engine.Set(fleetengine.Knobs{BreakAfter: 3})
	}
	got := s.call(0, "chat", "key-a", nil)
	is.True(got.err != nil)
	is.True(!strings.Contains(got.body, "piece 8"))
}

func TestAnUnsafeRequestWithoutAnswerRunsOnce(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	for _, engine := range s.engines {
		engine.Set(fleetengine.Knobs{Mute: true})
	}
	got := s.call(0, "book", "key-a", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "300") })
	is.Equal(got.status, 504)
	is.Equal(len(s.runs()), 1)
}

func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	s := newSite(t, 1)
	for _, id := range []string{"llm-1", "llm-2", "llm-3"} {
		s.engines[id].Set(fleetengine.Knobs{Mute: true})
	}
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	s.call(0, "chat", "key-a", func(r *http.Request) { *r = *r.WithContext(ctx) })
	left := time.Now()
	s.eventually("an engine still works", func() bool {
		return s.engines["llm-1"].Active()+s.engines["llm-2"].Active()+s.engines["llm-3"].Active() == 0
	})
	if taken := time.Since(left); taken > 500*time.Millisecond {
		t.Fatalf("the work ended %v after the caller had left", taken)
	}
}

func TestADrainingUpstreamGetsNothingMore(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	s.register("app-1", "draining")
	time.Sleep(200 * time.Millisecond)
	for range 20 {
		is.Equal(s.call(0, "book", "key-a", nil).status, 200)
	}
	is.Equal(len(s.engines["app-1"].Runs()), 0)
	s.store.Put("op", "evacuate/z", map[string]any{})
	time.Sleep(200 * time.Millisecond)
	is.Equal(s.call(0, "book", "key-a", nil).status, 503)
	s.store.Drop("op", "evacuate/z")
	time.Sleep(200 * time.Millisecond)
	is.Equal(s.call(0, "book", "key-a", nil).status, 200)
}

func TestAnAddressOfAnotherProcessRunsNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	for _, id := range []string{"app-1", "app-2"} {
		s.engines[id].ID = "another"
	}
	got := s.call(0, "book", "key-a", nil)
	is.Equal(got.status, 503)
	is.Equal(len(s.runs()), 0)
}

func TestAKeyThatWasTakenAwayStopsAlsoWithoutTheStore(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	is.Equal(s.call(0, "book", "key-a", nil).status, 200)
	s.store.Set(fleetstore.Knobs{Silent: true})
	s.configure("key-b")
	acknowledged := time.Now()
	s.eventually("the node still sends", func() bool { return s.call(0, "book", "key-a", nil).status == 503 })
	if taken := time.Since(acknowledged); taken > 5*time.Second {
		t.Fatalf("a key ran %v after it was taken away", taken)
	}
	s.store.Set(fleetstore.Knobs{})
	s.eventually("the key is not refused", func() bool { return s.call(0, "book", "key-a", nil).status == 401 })
	is.Equal(s.call(0, "book", "key-b", nil).status, 200)
}

func TestAForgottenHistoryAndAStaleReadBringNothingOldBack(t *testing.T) {
	s := newSite(t, 1)
	s.store.Set(fleetstore.Knobs{Stale: true})
	s.configure("key-b")
	s.eventually("the change is not known", func() bool { return s.call(0, "book", "key-a", nil).status == 401 })
	s.store.Forget()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if got := s.call(0, "book", "key-a", nil).status; got == 200 {
			t.Fatal("a key that was taken away runs again")
		}
	}
	s.store.Set(fleetstore.Knobs{})
	s.eventually("the node does not recover", func() bool { return s.call(0, "book", "key-b", nil).status == 200 })
}

func TestANodeThatEndsCutsNothing(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	for _, id := range []string{"llm-1", "llm-2", "llm-3"} {
		s.engines[id].Pause = 150 * time.Millisecond
	}
	answers := make(chan answer, 1)
	go func() { answers <- s.call(0, "chat", "key-a", nil) }()
	time.Sleep(100 * time.Millisecond)
	s.nodes[0].stop()
	s.eventually("a node that ends is still ready", func() bool { return !s.nodes[0].isReady() })
	got := s.call(0, "book", "key-a", nil) // the balancer has not noticed yet
	is.Equal(got.status, 200)
	stream := <-answers
	is.NoErr(stream.err)
	is.Equal(strings.Count(stream.body, "data: piece"), 8)
	select {
	case err := <-s.nodes[0].done:
		is.NoErr(err)
	case <-time.After(8 * time.Second):
		t.Fatal("the node does not end")
	}
}

// A node that had no processor time for a while may find a request only at the end of
// its grace.
func TestARequestThatIsReadAtTheVeryEndIsAnswered(t *testing.T) {
	for _, route := range []string{"chat", "book"} {
		t.Run(route, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 0)
			s.graceSeconds = 1
			s.start("edge-0")
			conn, err := net.Dial("tcp4", strings.TrimPrefix(s.nodes[0].url, "http://"))
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "POST /"+route+"/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: late\r\nX-Deadline-Ms: 2000\r\n"+
				"Authorization: Token key-a\r\nX-Token-Usage: 1000,300\r\nContent-Length: 8\r\n\r\nbody")
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			s.nodes[0].stop()
			time.Sleep(time.Duration(s.graceSeconds*float64(time.Second)) - exitMargin + 50*time.Millisecond)
			_, err = io.WriteString(conn, "body")
			is.NoErr(err)
			is.NoErr(conn.SetReadDeadline(time.Now().Add(2 * time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			_ = response.Body.Close()
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.NoErr(<-s.nodes[0].done)
		})
	}
}

func TestANodeStartsFromTheStoreAlone(t *testing.T) {
	s := newSite(t, 0)
	started := time.Now()
	s.start("edge-late")
	if taken := time.Since(started); taken > 2*time.Second {
		t.Fatalf("ready after %v", taken)
	}
}

func TestMemoryOfALargePromptIsGivenBack(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 1)
	got := s.call(0, "chat", "key-a", func(r *http.Request) { r.Header.Set("X-Token-Usage", "300000,300") })
	is.Equal(got.status, 200)
	var list string
	for _, run := range s.runs() {
		list = run.Header.Get("X-Helper-Instances")
	}
	is.True(strings.Count(list, "/") >= 4) // two tickets, whose IDs hold two slashes each
	s.eventually("memory stays set aside", func() bool {
		return s.engines["llm-1"].Held()+s.engines["llm-2"].Held()+s.engines["llm-3"].Held() == 0
	})
}

func TestSettingsNameEachProblem(t *testing.T) {
	is := is.New(t)
	_, err := ParseSettings([]byte("name: a\nzone: z\ncaller_address: nonsense\npeer_ip: x\ngrace_seconds: 0\n"))
	is.True(err != nil)
	for _, part := range []string{"line 3: caller_address", "line 4: peer_ip", "line 5: grace_seconds", "store_address", "peer_ports"} {
		is.True(strings.Contains(err.Error(), part)) // part
	}
	_, err = ParseSettings([]byte("name: a\nunknown: 1\n"))
	is.True(err != nil)
}
