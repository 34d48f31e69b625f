package upstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func readEvents(text string) ([]string, error) {
	reader := NewEventReader(strings.NewReader(text))
	var events []string
	for {
		data, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(data))
	}
}

func TestEventReaderReturnsDataOfCompleteEvents(t *testing.T) {
	tests := []struct {
		name, text string
		events     []string
	}{
		{"two events", "data: a\n\ndata: b\n\n", []string{"a", "b"}},
		{"CRLF line ends", "data: a\r\n\r\n", []string{"a"}},
		{"no space after the colon", "data:a\n\n", []string{"a"}},
		{"several data lines", "data: a\ndata: b\n\n", []string{"a\nb"}},
		{"comments and other fields", ": hi\nid: 3\ndata: a\n\n", []string{"a"}},
		{"no final blank line", "data: a\n\ndata: b\n", []string{"a"}},
		{"empty input", "", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			events, err := readEvents(test.text)
			is.Equal(err, io.EOF)
			is.Equal(events, test.events)
		})
	}
}

func TestEventReaderRejectsOversizedEvent(t *testing.T) {
	is := is.New(t)
	_, err := readEvents("data: " + strings.Repeat("a", maxEventBytes+1) + "\n\n")
	is.True(errors.Is(err, ErrEvent))
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("data: a\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data:\r\n\r\n:\ndata"))
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewEventReader(bytes.NewReader(input))
		total := 0
		for {
			data, err := reader.Next()
			if err != nil {
				break
			}
			total += len(data)
		}
		if total > len(input) {
			t.Fatal("events hold more data than the input")
		}
	})
}
