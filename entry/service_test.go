package entry

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// echoService records the last request and responds with end-to-end and hop-by-hop headers.
type echoService struct {
	mutex  sync.Mutex
	uri    string
	header map[string]string
}

func (e *echoService) handle(ctx *fasthttp.RequestCtx) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.uri = string(ctx.Request.Header.RequestURI())
	e.header = map[string]string{}
	for name, value := range ctx.Request.Header.All() {
		e.header[string(name)] = string(value)
	}
	ctx.Response.Header.Add("Set-Cookie", "a=1")
	ctx.Response.Header.Add("Set-Cookie", "b=2")
	ctx.Response.Header.Set("Location", "/seats/1")
	ctx.Response.Header.Set("X-Wigeontiller-Replayed", "true")
	ctx.Response.Header.Set("X-Secret-Hop", "1")
	ctx.Response.Header.Set("Connection", "X-Secret-Hop")
	ctx.SetContentType("text/plain")
	ctx.SetStatusCode(fasthttp.StatusCreated)
	ctx.SetBodyString("twelve bytes")
}

func startEchoService(t *testing.T) (*echoService, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &echoService{}
	server := &fasthttp.Server{Handler: service.handle, Logger: discardLogger{}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.ShutdownWithContext(context.Background()) })
	return service, newTestServer(t, memory.New(), listener.Addr().String())
}

func countCookies(response *fasthttp.Response) int {
	count := 0
	for range response.Header.Cookies() {
		count++
	}
	return count
}

func TestServiceCallForwardsEndToEndHeaders(t *testing.T) {
	is := is.New(t)
	service, server := startEchoService(t)
	header := map[string]string{"X-Wigeontiller-Forged": "1", "X-KV-Engines": "a=1", "X-Kept": "1", "X-Named": "1", "Connection": "X-Named"}
	for _, key := range []string{"", "first"} {
		if key != "" {
			header[headerIdempotencyKey] = key
		}
		response := handleRequest(server, "POST", "/services/bookings/seats%2F1/?a=%20b", "body", header)
		is.Equal(response.StatusCode(), fasthttp.StatusCreated)
		is.Equal(string(response.Body()), "twelve bytes")
		is.Equal(string(response.Header.Peek("Location")), "/seats/1")
		is.Equal(string(response.Header.ContentType()), "text/plain")
		is.Equal(countCookies(response), 2)
		is.Equal(len(response.Header.Peek(headerReplayed)), 0) // an upstream's own value is not forwarded
		is.Equal(len(response.Header.Peek("X-Secret-Hop")), 0)
		is.Equal(service.uri, "/seats%2F1/?a=%20b") // as the caller encoded it
		is.Equal(service.header["X-Kept"], "1")
		for _, name := range []string{"X-Wigeontiller-Forged", "X-Kv-Engines", "X-Named", "Authorization"} {
			is.Equal(service.header[name], "")
		}
	}
	response := handleRequest(server, "POST", "/services/bookings/seats%2F1/?a=%20b", "body", header)
	is.Equal(string(response.Header.Peek(headerReplayed)), "true")
	is.Equal(string(response.Header.Peek("Location")), "/seats/1")
	is.Equal(countCookies(response), 2)
}

func TestHeadResponseKeepsContentLength(t *testing.T) {
	is := is.New(t)
	_, server := startEchoService(t)
	response := handleRequest(server, "HEAD", "/services/bookings/seats", "", nil)
	is.Equal(response.StatusCode(), fasthttp.StatusCreated)
	is.Equal(response.Header.ContentLength(), len("twelve bytes"))
}

func TestInvalidIdempotencyKeyIsRejected(t *testing.T) {
	is := is.New(t)
	_, server := startEchoService(t)
	for key, status := range map[string]int{
		strings.Repeat("k", maxIdempotencyKeyBytes):   fasthttp.StatusCreated,
		strings.Repeat("k", maxIdempotencyKeyBytes+1): fasthttp.StatusBadRequest,
		"":           fasthttp.StatusBadRequest,
		"with space": fasthttp.StatusBadRequest,
		"clé":        fasthttp.StatusBadRequest,
	} {
		response := handleRequest(server, "POST", "/services/bookings/seats", "", map[string]string{headerIdempotencyKey: key})
		is.Equal(response.StatusCode(), status)
	}
}

func TestSideEffectRouteMatchesEncodedAndDottedPaths(t *testing.T) {
	is := is.New(t)
	_, server := startEchoService(t)
	caller, ok := server.config.Dispatcher.Tables().Caller(testKey)
	is.True(ok)
	service, ok := caller.Plan.Service("bookings")
	is.True(ok)
	for _, path := range []string{"/confirm", "/confirm/1", "/%63onfirm", "//confirm", "/a/../confirm", "/%zz"} {
		is.True(hasSideEffect(service, "GET", path))
	}
	is.True(!hasSideEffect(service, "GET", "/seats"))
}
