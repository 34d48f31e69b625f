package report

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/bench"
	"github.com/wigeontiller/wigeontiller/bench/policy"
)

func compared(is *is.I) *bench.Comparison {
	deployment, err := bench.DeploymentByName("works")
	is.NoErr(err)
	deployment.Duration = 3 * time.Second
	comparison, err := bench.Compare(1, deployment)
	is.NoErr(err)
	return comparison
}

func TestTextNamesEveryRun(t *testing.T) {
	is := is.New(t)
	text := Text(compared(is))
	for _, scenario := range bench.Scenarios() {
		is.True(strings.Contains(text, string(scenario)))
	}
	for _, name := range policy.Names() {
		is.True(strings.Contains(text, string(name)))
	}
}

func TestSVGIsWellFormed(t *testing.T) {
	is := is.New(t)
	drawn := new(bytes.Buffer)
	is.NoErr(SVG(drawn, compared(is)))
	decoder := xml.NewDecoder(drawn)
	paths := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "path" {
			paths++
		}
	}
	is.True(paths > len(policy.Names()))
}

func TestRandomTextListsBreaches(t *testing.T) {
	is := is.New(t)
	text := RandomText(&bench.RandomReport{Seed: 42, Breaches: []string{"held a request"}})
	is.True(strings.Contains(text, "seed 42"))
	is.True(strings.Contains(text, "breach: held a request"))
}
