package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhereTellsPlaceAndRefusalWithoutSending(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, 1)
	node := f.nodes[0]
	described := describedRequest{host: "h.example", path: "/chat/x", promptTokens: 1000, answerTokens: 40}
	f.eventually("no upstream is known", func() bool { return node.where(described).Outcome == WherePlaced })
	found := node.where(described)
	is.Equal(found.Route, "chat")
	is.Equal(found.Service, "llm")
	is.Equal(len(found.Upstreams), 3)
	for _, id := range []string{"llm-1", "llm-2", "llm-3"} {
		f.register(id, "draining")
	}
	f.eventually("draining upstreams are used", func() bool { return node.where(described).Outcome == WhereRefused })
	is.Equal(node.where(describedRequest{host: "other.example", path: "/"}).Outcome, WhereNoRoute)
	time.Sleep(50 * time.Millisecond)
	is.Equal(len(f.runs()), 0)
}
