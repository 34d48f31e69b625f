package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/upstream"
)

// hangTimeout only detects hangs.
const hangTimeout = 30 * time.Second

func startEngine(t *testing.T, grace time.Duration) (*Server, string) {
	t.Helper()
	server := NewServer(Config{
		Slots: 4, KVTokens: 100_000, PrefillTokensPerSecond: 1_000_000, TokenInterval: time.Millisecond, Grace: grace,
	}, new(fault.Control))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.App().Listener(listener) }()
	t.Cleanup(func() { _ = server.App().ShutdownWithTimeout(time.Second) })
	return server, "http://" + listener.Addr().String()
}

// startAndDisconnect starts a stream, reads its first line and closes the connection.
func startAndDisconnect(t *testing.T, url string, tokens int) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":%d,"prompt":"a"}`, tokens)
	request, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(upstream.HeaderAttempt, "one")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = bufio.NewReader(response.Body).ReadString('\n')
	_ = response.Body.Close()
}

func get(t *testing.T, url string) (status int, text string) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(hangTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func TestStreamOutlivesItsConnection(t *testing.T) {
	is := is.New(t)
	_, url := startEngine(t, hangTimeout)
	startAndDisconnect(t, url, 300)
	status, text := get(t, url+"/v1/streams/one/events?after=2")
	is.Equal(status, http.StatusOK)
	is.True(strings.HasPrefix(text, "id: 3\n"))
	is.True(strings.HasSuffix(text, "id: 303\ndata: [DONE]\n\n"))
	status, _ = get(t, url+"/v1/streams/one/events?after=-1")
	is.Equal(status, http.StatusBadRequest)
	status, _ = get(t, url+"/v1/streams/two/events")
	is.Equal(status, http.StatusNotFound)
}

func TestStreamWithoutReaderEndsAfterGracePeriod(t *testing.T) {
	is := is.New(t)
	server, url := startEngine(t, 50*time.Millisecond)
	startAndDisconnect(t, url, 90_000)
	eventually(t, "memory is free", func() bool { return server.Engine().Load().KVTokens == 0 })
	status, _ := get(t, url+"/v1/streams/one/events")
	is.Equal(status, http.StatusNotFound)
}

func TestCompleteAnswerIsDroppedAfterGracePeriod(t *testing.T) {
	_, url := startEngine(t, 50*time.Millisecond)
	startAndDisconnect(t, url, 1)
	eventually(t, "the answer is dropped", func() bool {
		status, _ := get(t, url+"/v1/streams/one/events")
		return status == http.StatusNotFound
	})
}

func TestDeleteCancelsAStreamWithoutReader(t *testing.T) {
	is := is.New(t)
	server, url := startEngine(t, hangTimeout)
	startAndDisconnect(t, url, 90_000)
	is.Equal(server.Engine().Load().Running, 1)
	request, err := http.NewRequest(http.MethodDelete, url+"/v1/streams/one", nil)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_ = response.Body.Close()
	eventually(t, "memory is free", func() bool { return server.Engine().Load().KVTokens == 0 })
}

// TestFinishingStreamCanAlwaysBeRead attaches readers to a stream while it moves from the
// running to the retained streams.
func TestFinishingStreamCanAlwaysBeRead(t *testing.T) {
	const openers = 4
	for number := range 2000 {
		engine := New(Config{Slots: 4, KVTokens: 100_000, PrefillTokensPerSecond: 1_000_000, TokenInterval: time.Millisecond, Grace: time.Minute})
		admitted := engine.admit("one", "", 10, 10, 20, 4)
		if admitted == nil {
			t.Fatal("not admitted")
		}
		done := make(chan struct{})
		var started sync.WaitGroup
		missed := make(chan int)
		for range openers {
			started.Add(1)
			go func() {
				misses := 0
				started.Done()
				for ended := false; !ended; {
					select {
					case <-done:
						ended = true
					default:
					}
					if engine.attachReader("one", "") == nil {
						misses++
					}
				}
				missed <- misses
			}()
		}
		started.Wait()
		engine.finish(admitted)
		close(done)
		for range openers {
			if misses := <-missed; misses > 0 {
				t.Fatalf("stream %d was not found %d times", number, misses)
			}
		}
	}
}
