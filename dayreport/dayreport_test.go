package dayreport

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/matryer/is"
)

const sampleDay = `{"G":0.52,"served":0.8,"refused":0.01,"failed":0.02,"breaks":{},
"classes":[{"name":"drafts","n":10,"in_aim":7,"late":2,"refused":1,"worth":0.7}],
"windows":[{"name":"0","n":6,"in_aim":5,"late":1,"worth":0.9},{"name":"2","n":4,"in_aim":2,"late":1,"refused":1,"worth":0.6}],
"events":[{"at_s":0.5,"to_s":2.5,"kind":"store down"},{"at_s":1,"to_s":1,"kind":"change","planned":true}]}`

func TestSVGAndTextShowDay(t *testing.T) {
	is := is.New(t)
	day, err := Read(strings.NewReader(sampleDay))
	is.NoErr(err)
	var svg bytes.Buffer
	is.NoErr(SVG(&svg, []string{"before", "after"}, []*Day{day, day}))
	for _, want := range []string{"before: worth 0.520", "after: worth 0.520", "store down", "change", "drafts, 0.700", "in aim"} {
		if !strings.Contains(svg.String(), want) {
			t.Errorf("SVG does not contain %q", want)
		}
	}
	text := Text([]string{"before"}, []*Day{day})
	is.True(strings.Contains(text, "drafts"))
	is.True(strings.Contains(text, "0.520"))
}

func TestReadRejectsOtherFiles(t *testing.T) {
	for _, text := range []string{"", "[]", "{}", `{"windows":[{"name":"x"}]}`} {
		_, err := Read(strings.NewReader(text))
		if !errors.Is(err, ErrReport) {
			t.Errorf("Read(%q) = %v, want ErrReport", text, err)
		}
	}
}

func TestReadJournalSortsEntriesByStart(t *testing.T) {
	is := is.New(t)
	entries, err := ReadJournal(fstest.MapFS{
		"b.json": {Data: []byte(`{"id":"2","at":["2026-01-02T10:00:00Z"],"cmd":"score","site":"s","why":"later","error":null,
			"days":[{"name":"quiet","G":0.5},{"name":"busy","G":0.7,"rules":{"LOST":1}},{"name":"fresh-1","G":0}]}`)},
		"a.json":   {Data: []byte(`{"id":"1","at":"2026-01-01T10:00:00Z","cmd":"run","site":"s","why":"earlier","error":"the run did not finish"}`)},
		"blobs/xy": {Data: []byte("no entry")},
	})
	is.NoErr(err)
	is.Equal(len(entries), 2)
	is.Equal(entries[0].Why, "earlier")
	is.Equal(entries[1].MeanWorth(), 0.6)
	text := JournalText(entries)
	for _, want := range []string{"no end", "LOST", "0.600", "2026-01-02 10:00:00"} {
		is.True(strings.Contains(text, want)) // the text contains it
	}
	var svg bytes.Buffer
	is.NoErr(JournalSVG(&svg, entries))
	is.True(strings.Contains(svg.String(), "Mean worth"))
}

func TestReadJournalRejectsMissingAndInvalidEntries(t *testing.T) {
	is := is.New(t)
	_, err := ReadJournal(fstest.MapFS{})
	is.True(errors.Is(err, ErrJournal))
	_, err = ReadJournal(fstest.MapFS{"a.json": {Data: []byte("{")}})
	is.True(errors.Is(err, ErrJournal))
}
