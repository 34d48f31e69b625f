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

// echo records the last request and answers with a telling header.
type echo struct {
	mutex  sync.Mutex
	uri    string
	header map[string]string
}

func (e *echo) handle(ctx *fasthttp.RequestCtx) {
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

func startEcho(t *testing.T) (*echo, *Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &echo{}
	server := &fasthttp.Server{Handler: service.handle, Logger: quiet{}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.ShutdownWithContext(context.Background()) })
	return service, newTestServer(t, memory.New(), listener.Addr().String())
}

func cookies(response *fasthttp.Response) int {
	count := 0
	for range response.Header.Cookies() {
		count++
	}
	return count
}

func TestServiceHeadersPass(t *testing.T) {
	is := is.New(t)
	service, server := startEcho(t)
	header := map[string]string{"X-Wigeontiller-Forged": "1", "X-KV-Engines": "a=1", "X-Kept": "1", "X-Named": "1", "Connection": "X-Named"}
	for _, key := range []string{"", "first"} {
		if key != "" {
			header[headerKey] = key
		}
		response := exchange(server, "POST", "/services/bookings/seats%2F1/?a=%20b", "body", header)
		is.Equal(response.StatusCode(), fasthttp.StatusCreated)
		is.Equal(string(response.Body()), "twelve bytes")
		is.Equal(string(response.Header.Peek("Location")), "/seats/1")
		is.Equal(string(response.Header.ContentType()), "text/plain")
		is.Equal(cookies(response), 2)
		is.Equal(len(response.Header.Peek(headerReplayed)), 0) // not the upstream's to say
		is.Equal(len(response.Header.Peek("X-Secret-Hop")), 0)
		is.Equal(service.uri, "/seats%2F1/?a=%20b") // as the caller encoded it
		is.Equal(service.header["X-Kept"], "1")
		for _, name := range []string{"X-Wigeontiller-Forged", "X-Kv-Engines", "X-Named", "Authorization"} {
			is.Equal(service.header[name], "")
		}
	}
	response := exchange(server, "POST", "/services/bookings/seats%2F1/?a=%20b", "body", header)
	is.Equal(string(response.Header.Peek(headerReplayed)), "true")
	is.Equal(string(response.Header.Peek("Location")), "/seats/1")
	is.Equal(cookies(response), 2)
}

func TestServiceHead(t *testing.T) {
	is := is.New(t)
	_, server := startEcho(t)
	response := exchange(server, "HEAD", "/services/bookings/seats", "", nil)
	is.Equal(response.StatusCode(), fasthttp.StatusCreated)
	is.Equal(response.Header.ContentLength(), len("twelve bytes"))
}

func TestIdempotencyKeyIsChecked(t *testing.T) {
	is := is.New(t)
	_, server := startEcho(t)
	for key, status := range map[string]int{
		strings.Repeat("k", maxKeyBytes):   fasthttp.StatusCreated,
		strings.Repeat("k", maxKeyBytes+1): fasthttp.StatusBadRequest,
		"":                                 fasthttp.StatusBadRequest,
		"with space":                       fasthttp.StatusBadRequest,
		"clé":                              fasthttp.StatusBadRequest,
	} {
		response := exchange(server, "POST", "/services/bookings/seats", "", map[string]string{headerKey: key})
		is.Equal(response.StatusCode(), status)
	}
}

func TestSideEffectRouteIsFoundHoweverItIsWritten(t *testing.T) {
	is := is.New(t)
	_, server := startEcho(t)
	caller, ok := server.config.Dispatcher.Tables().Caller(testKey)
	is.True(ok)
	service, ok := caller.Plan.Service("bookings")
	is.True(ok)
	for _, path := range []string{"/confirm", "/confirm/1", "/%63onfirm", "//confirm", "/a/../confirm", "/%zz"} {
		is.True(hasSideEffect(service, "GET", path))
	}
	is.True(!hasSideEffect(service, "GET", "/seats"))
}
