package edge

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDrainTimeIsOptionalAndNotNegative(t *testing.T) {
	is := is.New(t)
	_, err := ParseSettings([]byte("name: a\n"))
	is.True(err != nil && !strings.Contains(err.Error(), "drain_ms")) // other fields are missing
	_, err = ParseSettings([]byte("name: a\ndrain_ms: -1\n"))
	is.True(strings.Contains(err.Error(), "line 2: drain_ms"))
}
