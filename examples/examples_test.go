// Package examples checks that the example settings and environment documents are valid.
package examples

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/settings"
)

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("*/*.yaml")
	is.NoErr(err)
	nodes := map[string]int{}
	for _, file := range files {
		data, err := os.ReadFile(file)
		is.NoErr(err)
		if strings.HasSuffix(file, "environment.yaml") {
			_, err = environment.Parse(data)
		} else {
			_, err = settings.Parse(data)
			nodes[filepath.Dir(file)]++
		}
		if err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
	is.Equal(nodes["stencil-works"], 7) // the smallest deployment today
	is.Equal(nodes["cooperative"], 9)   // the largest deployment today
}
