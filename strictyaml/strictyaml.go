// Package strictyaml decodes YAML strictly and reports each problem with its
// field and line.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FieldError is one validation problem in a document.
type FieldError struct {
	// Field is the path of the field, for example "organisations[0].weight".
	Field string `json:"field"`
	// Line is the line number in the document, starting at 1.
	Line int `json:"line"`
	// Message describes the problem.
	Message string `json:"message"`
}

// Error formats the problem as "line 3: field: message".
func (e FieldError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Message)
}

// Errors lists every problem found in a document.
type Errors []FieldError

// Error returns the problems, one per line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, fieldError := range e {
		lines = append(lines, fieldError.Error())
	}
	return strings.Join(lines, "\n")
}

// Source is a parsed document in which the line of a field can be looked up.
type Source struct {
	root *yaml.Node
}

// Decode decodes data, which must contain exactly one document, into v. Unknown
// and duplicate fields are errors. The returned error is always of type Errors.
func Decode(data []byte, v any) (*Source, error) {
	root := new(yaml.Node)
	if err := yaml.Unmarshal(data, root); err != nil {
		return nil, errorsFromYAML(err)
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(v); err != nil {
		return nil, errorsFromYAML(err)
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, Errors{{Line: 1, Message: "more than one document"}}
	}
	return &Source{root: root}, nil
}

// DecodeLenient decodes data into v, ignoring unknown fields. It reports whether
// data is valid YAML whose values fit the types in v.
func DecodeLenient(data []byte, v any) bool {
	return yaml.Unmarshal(data, v) == nil
}

// pathStep matches one element of a field path: a key or an index.
var pathStep = regexp.MustCompile(`[^.\[\]]+`)

// Line returns the line, starting at 1, of a field path such as "models[0].name".
// If the field is absent, it returns the line of its nearest existing parent.
func (s *Source) Line(field string) int {
	node := s.root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	for _, name := range pathStep.FindAllString(field, -1) {
		next := child(node, name)
		if next == nil {
			break
		}
		node = next
	}
	return max(node.Line, 1)
}

func child(node *yaml.Node, name string) *yaml.Node {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == name {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(name)
		if err == nil && index < len(node.Content) {
			return node.Content[index]
		}
	}
	return nil
}

var (
	linePattern    = regexp.MustCompile(`(?s)line (\d+): (.*)`)
	unknownPattern = regexp.MustCompile(`^field (\S+) not found in type .*`)
	typePattern    = regexp.MustCompile(`into \S+$`)
)

func errorsFromYAML(err error) Errors {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return Errors{parseMessage(err.Error())}
	}
	problems := make(Errors, 0, len(typeError.Errors))
	for _, message := range typeError.Errors {
		problems = append(problems, parseMessage(message))
	}
	return problems
}

// parseMessage extracts the line and the field from an error message of the YAML library.
func parseMessage(message string) FieldError {
	problem := FieldError{Line: 1, Message: strings.TrimPrefix(message, "yaml: ")}
	if parts := linePattern.FindStringSubmatch(message); parts != nil {
		if line, err := strconv.Atoi(parts[1]); err == nil {
			problem.Line = max(line, 1)
		}
		problem.Message = parts[2]
	}
	if parts := unknownPattern.FindStringSubmatch(problem.Message); parts != nil {
		problem.Field = parts[1]
		problem.Message = "unknown field"
	}
	problem.Message = typePattern.ReplaceAllString(problem.Message, "into this field")
	return problem
}
