package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/bench"
)

func TestBenchPrintsJSONAndDraws(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "plot.svg")
	out, errs := new(bytes.Buffer), new(bytes.Buffer)
	code := Run([]string{"bench", "--seed", "5", "--duration", "3s", "--plot", file, "--output", "json"}, out, errs)
	is.Equal(code, ExitOK)
	var comparison bench.Comparison
	is.NoErr(json.Unmarshal(out.Bytes(), &comparison))
	is.Equal(comparison.Seed, uint64(5))
	is.Equal(len(comparison.Policies), 3)
	drawn, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(bytes.Contains(drawn, []byte("<svg")))
}

func TestBenchRandomPrintsSeed(t *testing.T) {
	is := is.New(t)
	out, errs := new(bytes.Buffer), new(bytes.Buffer)
	is.Equal(Run([]string{"bench", "--random", "--seed", "9", "--duration", "5s"}, out, errs), ExitOK)
	is.True(bytes.Contains(out.Bytes(), []byte("seed 9")))
}

func TestBenchRejectsUnknownDeployment(t *testing.T) {
	is := is.New(t)
	out, errs := new(bytes.Buffer), new(bytes.Buffer)
	is.Equal(Run([]string{"bench", "--deployment", "moon"}, out, errs), ExitUsage)
}
