package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestExplainReadsSeveralLogs(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	var args = []string{"explain", "r1"}
	for name, text := range map[string]string{
		"a.log": `{"node":"a","time":5,"message":"request ended","request_id":"r1","outcome":"overloaded","reason":"busy"}`,
		"b.log": `{"node":"b","time":1,"message":"node ends"}`,
	} {
		path := filepath.Join(directory, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		args = append(args, path)
	}
	var stdout, stderr bytes.Buffer
	is.Equal(Run(args, &stdout, &stderr), ExitOK)
	is.True(strings.Contains(stdout.String(), "cause: overloaded"))
	is.Equal(Run([]string{"explain", "r2", args[2]}, &stdout, &stderr), ExitFailure)
	is.Equal(Run([]string{"explain", "r1", filepath.Join(directory, "none")}, &stdout, &stderr), ExitUsage)
}

func TestEmptyArgumentIsAUsageError(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{""}, {"explain", "", "a.log"}, {"explain", "r1", ""}} {
		var stdout, stderr bytes.Buffer
		is.Equal(Run(args, &stdout, &stderr), ExitUsage)
		is.True(strings.Contains(stderr.String(), "an argument is empty"))
	}
}

func TestReportDrawsTwoDays(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	day, plot := filepath.Join(directory, "day.json"), filepath.Join(directory, "day.svg")
	is.NoErr(os.WriteFile(day, []byte(`{"G":0.5,"classes":[{"name":"drafts","n":3}],"windows":[{"name":"0","n":3,"in_aim":2,"late":1}]}`), 0o600))
	var stdout, stderr bytes.Buffer
	is.Equal(Run([]string{"report", day, day, "--plot", plot}, &stdout, &stderr), ExitOK)
	drawn, err := os.ReadFile(plot)
	is.NoErr(err)
	is.True(bytes.Contains(drawn, []byte("<svg")))
	is.Equal(Run([]string{"report", plot}, &stdout, &stderr), ExitFailure)
	is.Equal(Run([]string{"journal", directory}, &stdout, &stderr), ExitFailure) // the report of a day is not a journal entry
}
