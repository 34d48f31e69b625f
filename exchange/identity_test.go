package exchange

import (
	"testing"

	"github.com/matryer/is"
)

func TestIdentityTellsRequestsApart(t *testing.T) {
	is := is.New(t)
	base := Identity("POST", "h", "/a/b?q=1", "works", []byte("body"))
	is.Equal(len(base), 2)
	is.Equal(base, Identity("POST", "H", "/a/b?q=1", "works", []byte("body")))
	without := Identity("POST", "h", "/a/b", "works", []byte("body"))
	is.Equal(without, base[1:])
	other := Identity("POST", "h", "/a/b?q=2", "works", []byte("body"))
	is.True(other[0] != base[0])
	is.Equal(other[1], base[1])
	seen := map[uint64]bool{base[0]: true, base[1]: true}
	for _, identity := range [][]uint64{
		Identity("GET", "h", "/a/b", "works", []byte("body")),
		Identity("POST", "g", "/a/b", "works", []byte("body")),
		Identity("POST", "h", "/a/c", "works", []byte("body")),
		Identity("POST", "h", "/a/b", "club", []byte("body")),
		Identity("POST", "h", "/a/b", "works", nil),
		// A field does not run into the next one.
		Identity("POST", "h/a", "/b", "works", []byte("body")),
		Identity("POST", "h", "/a/bworks", "", []byte("body")),
	} {
		is.Equal(len(identity), 1)
		is.True(!seen[identity[0]])
		seen[identity[0]] = true
	}
}
