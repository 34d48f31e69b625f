package cli

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/soak"
)

func TestSoakRejectsZeroDuration(t *testing.T) {
	is := is.New(t)
	out, errs := new(bytes.Buffer), new(bytes.Buffer)
	is.Equal(Run([]string{"soak", "--duration", "0s"}, out, errs), ExitUsage)
	is.Equal(out.Len(), 0)
}

func TestSoakBreachFailsWithReplayCommand(t *testing.T) {
	is := is.New(t)
	record := &soak.Record{Plan: &soak.Plan{Seed: 3, Duration: time.Second, Rate: 1}}
	is.NoErr(breachError(soak.NewReport(record)))
	record.Engines = []soak.EngineRest{{Engine: "engine-0", KVTokens: 1}}
	errs := new(bytes.Buffer)
	is.Equal(exitCode(errs, breachError(soak.NewReport(record))), ExitFailure)
	is.True(strings.Contains(errs.String(), "soak --seed 3 --duration 1s --rate 1"))
}
