package environment

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/strictyaml"
)

func exampleDocument(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile("../examples/local/environment.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func TestParseReportsFieldAndLine(t *testing.T) {
	text := exampleDocument(t)
	tests := []struct {
		name, old, new, field string
	}{
		{"unknown field", "models:", "modells:", "modells"},
		{"host name as address", `"127.0.0.1:9101"`, `"engine:9101"`, "engines[0].address"},
		{"no slots", "slots: 16", "slots: 0", "engines[0].slots"},
		{"unknown model", "models: [adviser]", "models: [other]", "engines[0].models[0]"},
		{"bad priority", "max_priority: urgent", "max_priority: first", "organisations[0].max_priority"},
		{"same name twice", "- name: coach", "- name:   rink-shop", "organisations[1].name"},
		{"classes out of order", "max_prompt_tokens: 120000", "max_prompt_tokens: 12", "length_classes[1].max_prompt_tokens"},
		{"not a digest", `key_digests: ["sha256:`, `key_digests: ["sha512:`, "organisations[0].key_digests[0]"},
		{"bad duration", "deadline: 3m", "deadline: soon", ""},
		{"wrong type", "weight: 2", "weight: two", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(text, test.old))
			broken := strings.Replace(text, test.old, test.new, 1)
			line := 1 + strings.Count(broken[:strings.Index(broken, test.new)], "\n")
			_, err := Parse([]byte(broken))
			var problems strictyaml.Errors
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Line, line)
			if test.field != "" {
				is.Equal(problems[0].Field, test.field)
			}
		})
	}
}

func TestParseListsEveryProblem(t *testing.T) {
	is := is.New(t)
	text := strings.ReplaceAll(exampleDocument(t), "slots: 16", "slots: -1")
	_, err := Parse([]byte(text))
	var problems strictyaml.Errors
	is.True(errors.As(err, &problems))
	is.Equal(len(problems), 2) // one for each engine
}

func TestParseAppliesDefaults(t *testing.T) {
	is := is.New(t)
	document, err := Parse([]byte(exampleDocument(t)))
	is.NoErr(err)
	is.Equal(document.Limits.BodyBytes, 8<<20)
	is.Equal(document.Organisations[1].Weight, 1)
	is.Equal(document.Organisations[1].MaxPriority, "normal")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(exampleDocument(f)))
	f.Add([]byte("name: &a [*a]\n"))
	f.Add([]byte("engines: [{name: [}]"))
	f.Add([]byte("\xff\xfe"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse(data)
		var problems strictyaml.Errors
		if err != nil && (!errors.As(err, &problems) || len(problems) == 0 || problems[0].Line < 1) {
			t.Fatalf("error without a line number: %v", err)
		}
		if (document == nil) == (err == nil) {
			t.Fatal("want either a document or an error, got both or neither")
		}
	})
}
