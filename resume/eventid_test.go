package resume

import (
	"testing"

	"github.com/matryer/is"
)

func TestEventIDCarriesTokenOnlyInFirstAndRejectsMalformed(t *testing.T) {
	is := is.New(t)
	for n, id := range map[int]string{1: "1;token", 2: "2", 30: "30"} {
		is.Equal(EventID(n, "token"), id)
		parsed, token, err := ParseEventID(id)
		is.NoErr(err)
		is.Equal(parsed, n)
		is.Equal(token == "token", n == 1)
	}
	for _, id := range []string{"-1", "+1", "01", "a", " 1", ";token", "99999999999999999999"} {
		_, _, err := ParseEventID(id)
		is.Equal(err, ErrMalformed)
	}
}
