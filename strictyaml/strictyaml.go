// Package strictyaml decodes YAML strictly and reports each problem with the
// field and the line it was found on.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// FieldError is one problem in a document.
type FieldError struct {
	// Field is the path of the field, for example "organisations[0].weight".
	Field string `json:"field"`
	// Line is the 1-based line, or 0 when the document has no such line.
	Line int `json:"line"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// Error formats the problem as "line 3: field: message".
func (e FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Message)
}

// Errors holds every problem found in a document.
type Errors []FieldError

// Error joins the problems, one a line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, fieldError := range e {
		lines = append(lines, fieldError.Error())
	}
	return strings.Join(lines, "\n")
}

// Source is a parsed document that can tell the line of a field.
type Source struct {
	file *ast.File
}

// Decode fills v from data. Unknown and duplicate fields are errors. The
// returned error is always of type Errors.
func Decode(data []byte, v any) (*Source, error) {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil, Errors{fromYAML(err)}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())
	if err := decoder.Decode(v); err != nil {
		return nil, Errors{fromYAML(err)}
	}
	return &Source{file: file}, nil
}

// Line returns the 1-based line of a field path such as "models[0].name". When
// the field is absent it returns the line of the nearest parent that is there.
func (s *Source) Line(field string) int {
	for field != "" {
		if line := s.exactLine(field); line > 0 {
			return line
		}
		field = parent(field)
	}
	return 1
}

func (s *Source) exactLine(field string) int {
	path, err := yaml.PathString("$." + field)
	if err != nil {
		return 0
	}
	node, err := path.FilterFile(s.file)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func parent(field string) string {
	cut := strings.LastIndexAny(field, ".[")
	if cut < 0 {
		return ""
	}
	return field[:cut]
}

func fromYAML(err error) FieldError {
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		return FieldError{Line: 1, Message: err.Error()}
	}
	found := FieldError{Line: 1, Message: yamlError.GetMessage()}
	if token := yamlError.GetToken(); token != nil {
		found.Line = token.Position.Line
		found.Field = token.Value
	}
	return found
}

// DecodeLenient fills what it can of v, passing over unknown fields. It reports
// whether data is YAML.
func DecodeLenient(data []byte, v any) bool {
	return yaml.Unmarshal(data, v) == nil
}
