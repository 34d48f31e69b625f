package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/strictyaml"
)

func exampleSettings(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../examples/cooperative/entry-a1.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// problemLines returns the line of each field that has a problem.
func problemLines(t *testing.T, text string) map[string]int {
	t.Helper()
	_, err := Parse([]byte(text))
	var problems strictyaml.Errors
	if !errors.As(err, &problems) {
		t.Fatal(err)
	}
	lines := map[string]int{}
	for _, problem := range problems {
		lines[problem.Field] = problem.Line
	}
	return lines
}

func TestParseListsEveryProblem(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(exampleSettings(t), "caller_address: 10", "caller_address: host.10", 1)
	text = strings.Replace(text, "region: wales", "region: ''", 1)
	is.Equal(problemLines(t, text), map[string]int{"region": 3, "caller_address": 4})
}

func TestSecretRequiresExactlyOneSource(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(exampleSettings(t), "  key: {file:", "  key: {environment: KEY, file:", 1)
	text = strings.Replace(text, "- environment: WIGEONTILLER_TOKEN", "- environment: ''", 1)
	is.Equal(problemLines(t, text), map[string]int{"operator_tokens[0]": 10, "peer_tls.key": 15})
}

func TestSecretReadTrimsLineEnd(t *testing.T) {
	is := is.New(t)
	file := t.TempDir() + "/token"
	is.NoErr(os.WriteFile(file, []byte("secret\r\n"), 0o600))
	value, err := Secret{File: file}.Read()
	is.NoErr(err)
	is.Equal(value, "secret")
	_, err = Secret{Environment: "WIGEONTILLER_TEST_UNSET"}.Read()
	is.True(errors.Is(err, ErrSecretMissing))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleSettings(f)))
	f.Add([]byte("seeds: [1, {a: b}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse(data)
		if (parsed == nil) == (err == nil) {
			t.Fatal("want either settings or an error, got both or neither")
		}
	})
}
