package exchange

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"
	"testing/iotest"
)

// bodyEvent is one event of a body, as a reader tells it.
type bodyEvent struct {
	text               string
	number             int64
	hasData, isComment bool
}

// parseBody splits a body that is whole, line by line. Unlike eventReader it has no buffer that a line can exceed.
func parseBody(body string) (events []bodyEvent, remainder string) {
	event := bodyEvent{isComment: true}
	for _, line := range strings.SplitAfter(body, "\n") {
		event.text += line
		text, ended := strings.CutSuffix(line, "\n")
		if !ended {
			if line == "" && event.isComment && event.text != "" {
				return append(events, event), ""
			}
			return events, event.text
		}
		text = strings.TrimRight(text, "\r")
		if text == "" && event.text != line {
			events = append(events, event)
			event = bodyEvent{isComment: true}
			continue
		}
		name, value, _ := strings.Cut(text, ":")
		event.hasData = event.hasData || name == "data"
		event.isComment = event.isComment && (text == "" || name == "")
		if number, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64); name == "id" && err == nil {
			event.number = number
		}
	}
	return events, event.text
}

// readBody reads a body as the relay of a stream does.
func readBody(body io.Reader) (events []bodyEvent, remainder string, err error) {
	reader := newEventReader(body)
	for {
		data, number, err := reader.next()
		if err != nil {
			return events, string(data), err
		}
		events = append(events, bodyEvent{string(data), number, reader.hasData, reader.isComment})
	}
}

// checkReader compares what the reader tells of a body with what a parser of the whole body does.
func checkReader(body string, reader io.Reader) error {
	want, wantRemainder := parseBody(body)
	got, remainder, err := readBody(reader)
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case remainder != wantRemainder:
		return fmt.Errorf("%d bytes after the last event, want %d", len(remainder), len(wantRemainder))
	case len(got) != len(want):
		return fmt.Errorf("%d events, want %d", len(got), len(want))
	}
	for i := range want {
		if got[i] != want[i] {
			return fmt.Errorf("event %d: %s, want %s", i+1, got[i], want[i])
		}
	}
	return nil
}

func (e bodyEvent) String() string {
	return fmt.Sprintf("%d bytes, number %d, data %t, comment %t", len(e.text), e.number, e.hasData, e.isComment)
}

// longLine returns a line of a length, without its end, in which the given text follows each part that fills
// the reader's buffer.
func longLine(start string, length int, after string) string {
	line := bytes.Repeat([]byte("x"), length)
	if strings.HasPrefix(start, "id:") {
		line = bytes.Repeat([]byte("0"), length)
		after = ""
	}
	for offset := eventBufferBytes; offset < length; offset += eventBufferBytes {
		copy(line[offset:], after)
	}
	copy(line, start)
	return string(line)
}

// TestLinesLongerThanReadBufferAreReadWhole guards against lines that are judged by what is left of them
// after the buffer's last full part: as an event's end, its number or a comment.
func TestLinesLongerThanReadBufferAreReadWhole(t *testing.T) {
	lengths := []int{4095, 4096, 4097, 4098, 4101, 8191, 8192, 8193, 8198, 12288, 12293, 16384, 16390, 65536, 65541}
	wrong, forms := 0, 0
	check := func(form, body string, length int) {
		readers := map[string]func() io.Reader{
			"whole":     func() io.Reader { return strings.NewReader(body) },
			"in halves": func() io.Reader { return iotest.HalfReader(strings.NewReader(body)) },
		}
		if length < 3*eventBufferBytes {
			readers["byte by byte"] = func() io.Reader { return iotest.OneByteReader(strings.NewReader(body)) }
		}
		for name, reader := range readers {
			forms++
			if err := checkReader(body, reader()); err != nil {
				if wrong++; wrong <= 10 {
					t.Errorf("%s, read %s: %v", form, name, err)
				}
			}
		}
	}
	for _, length := range lengths {
		for _, end := range []string{"\n", "\r\n"} {
			for _, start := range []string{"data: ", ": ", "event: ", "id: "} {
				for _, after := range []string{"x", "id: 1", "id: 77", "data: x", ": x"} {
					for _, numberFirst := range []bool{true, false} {
						line := longLine(start, length, after)
						lines := []string{line, "id: 2"}
						if numberFirst {
							lines = []string{"id: 2", line}
						}
						before := "id: 1" + end + "data: x" + end + end
						long := strings.Join(append(lines, "", ""), end)
						at := len(before) + strings.Index(long, line)
						body := before + long + "id: 3" + end + "data: x" + end + end
						for _, cut := range []int{at + eventBufferBytes, at + length, at + length + 1, at + length + len(end), len(body)} {
							form := fmt.Sprintf("%q line of %d bytes, then %q, end %q, number first %t, %d bytes of %d", start, length, after, end, numberFirst, cut, len(body))
							check(form, body[:min(cut, len(body))], length)
						}
					}
				}
			}
		}
	}
	if wrong > 0 {
		t.Errorf("%d of %d forms read wrongly", wrong, forms)
	}
}

// chunkReader returns at most size bytes a call.
type chunkReader struct {
	body io.Reader
	size int
}

func (r chunkReader) Read(p []byte) (int, error) { return r.body.Read(p[:min(len(p), r.size)]) }

// FuzzStreamEvents compares the reader with a parser of the whole body. Each ~ of a body stands for so many bytes of filler that
// lines reach and exceed the read buffer; so many bytes at most are read at once.
func FuzzStreamEvents(f *testing.F) {
	for _, filler := range []uint16{1, 4089, 4090, 4091, 4096, 8186, 12282, 16378, 65530} {
		for _, body := range []string{
			"id: 1\ndata: ~\n\nid: 2\ndata: x\n\n",
			"id: 1\r\ndata: ~\r\n\r\nid: 2\r\ndata: x\r\n\r\n",
			"id: 1\ndata: ~id: 7\n\n",
			"data: ~data: ~\nid: 1\n\n",
			": ~id: 1\n\n: ~\n",
			"event: ~data: x\nid: ~\n\n",
			"x-weight-versions: 3\nid: 1\ndata: ~\ndata: ~\n\n",
			"database: ~\nidea: 4\n\ndata\nid\n\n",
			"\n\r\nid: 1\ndata: ~\n\n\n: ~\n\ndata: ~",
			"id: 1\ndata: ~\r~\n\r\n",
			"id: 1\r\r\ndata: ~\r\r\n\r\r\n",
		} {
			f.Add(body, filler, 1+filler%7*500)
		}
	}
	f.Fuzz(func(t *testing.T, form string, filler, readSize uint16) {
		body := strings.ReplaceAll(form, "~", strings.Repeat("x", int(filler)))
		if len(body) > maxEventBytes {
			t.Skip("longer than the longest event")
		}
		if err := checkReader(body, chunkReader{strings.NewReader(body), max(int(readSize), 1)}); err != nil {
			t.Errorf("%q with %d bytes of filler, read by %d: %v", form, filler, readSize, err)
		}
	})
}
