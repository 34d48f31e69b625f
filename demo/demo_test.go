package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/cli"
	"github.com/wigeontiller/wigeontiller/demo"
)

const (
	// testPortOffset moves the ports, so that the test can run beside a running demo.
	testPortOffset = 12_000
	stopTimeout    = 30 * time.Second
)

// steps runs the commands that WriteHelp lists.
type steps struct {
	t    *testing.T
	demo *demo.Demo
}

func startDemo(t *testing.T) *steps {
	t.Helper()
	running, err := demo.StartAt(t.Context(), zerolog.Nop(), "", testPortOffset)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if err := running.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	t.Setenv("WIGEONTILLER_TOKEN", demo.OperatorToken)
	return &steps{t: t, demo: running}
}

func (s *steps) call(method string, port int, path, token, body string, header ...string) (int, string) {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), method, "http://"+demo.Loopback(s.demo, port)+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

// command runs the command line against a node's operator port.
func (s *steps) command(port int, args ...string) string {
	s.t.Helper()
	out, errs := new(bytes.Buffer), new(bytes.Buffer)
	args = append(args, "--output", "json", "--url", "http://"+demo.Loopback(s.demo, port))
	if code := cli.Run(args, out, errs); code != cli.ExitOK {
		s.t.Fatalf("%v: exit %d: %s", args, code, errs)
	}
	return out.String()
}

func TestDemoSteps(t *testing.T) {
	s := startDemo(t)
	t.Run("streamed answer", s.streamed)
	t.Run("keyed call sent three times", s.keyed)
	t.Run("refusals", s.refusals)
	t.Run("promote", s.promote)
}

func (s *steps) streamed(t *testing.T) {
	is := is.New(t)
	for _, prompt := range []string{"Which hollow for a goalie?", strings.Repeat("a", 400_000)} {
		body := fmt.Sprintf(`{"model":"adviser","stream":true,"max_tokens":8,"messages":[{"role":"user","content":%q}]}`, prompt)
		status, text := s.call(http.MethodPost, 8080, "/v1/chat/completions", demo.CallerKey, body)
		is.Equal(status, http.StatusOK)
		is.Equal(strings.Count(text, `"content"`), 8) // one event per token
		is.True(strings.HasSuffix(text, "data: [DONE]\n\n"))
	}
}

func (s *steps) keyed(t *testing.T) {
	is := is.New(t)
	first := ""
	for _, port := range []int{8080, 8180, 8280} {
		status, text := s.call(http.MethodPost, port, "/services/bookings/confirm", demo.CallerKey, `{"skate":7}`, "Idempotency-Key", "goalie-1")
		is.Equal(status, http.StatusOK)
		if first == "" {
			first = text
		}
		is.Equal(text, first) // every node returns the first answer
	}
	runs := 0
	for _, port := range []int{9111, 9211, 9311} {
		_, text := s.call(http.MethodGet, port, "/counts", "", "")
		counts := map[string]int{}
		is.NoErr(json.Unmarshal([]byte(text), &counts))
		runs += counts["goalie-1"]
	}
	is.Equal(runs, 1)
}

func (s *steps) refusals(t *testing.T) {
	is := is.New(t)
	status, text := s.call(http.MethodGet, 8080, "/services/bookings/slots", "wrong", "")
	is.Equal(status, http.StatusUnauthorized)
	is.True(strings.Contains(text, `"execution":"not_run"`))
	status, text = s.call(http.MethodPut, 8081, "/admin/v1/environments/demo/trial", demo.OperatorToken, "name: demo\nmodells: []\n")
	is.Equal(status, http.StatusBadRequest)
	is.True(strings.Contains(text, "modells"))
	is.True(strings.Contains(text, "line 2") || strings.Contains(text, `"line":2`)) // the error names the line
}

func (s *steps) promote(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "environment.yaml")
	is.NoErr(os.WriteFile(file, append(demo.Document(s.demo), "# changed\n"...), 0o600))
	s.command(8081, "env", "try", file)
	var promoted struct {
		Version uint64 `json:"version"`
		Digest  string `json:"digest"`
	}
	is.NoErr(json.Unmarshal([]byte(s.command(8081, "env", "promote", "demo")), &promoted))
	is.NoErr(demo.Wait(s.demo, t.Context(), promoted.Version)) // on all three nodes
	for _, port := range []int{8081, 8181, 8281} {
		is.True(strings.Contains(s.command(port, "status"), `"production_digest": "`+promoted.Digest+`"`))
	}
	for _, state := range []string{"out", "in"} {
		s.command(8081, "dc", state, "dc-b")
	}
}
