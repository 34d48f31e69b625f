package wigeontiller_test

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

// A program embeds an entry node and supplies its own platform adapter.
func Example() {
	s := &settings.Settings{
		Name:            "entry-a",
		DataCentre:      "dc-a",
		Region:          "wales",
		CallerAddress:   "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		OperatorTokens:  []settings.Secret{{Literal: "operator"}},
		PeerKey:         settings.Secret{Literal: "an-example-key-0123456789abcdef"},
		ShutdownLag:     time.Millisecond,
		InProcessDemo:   true,
	}
	s.Provision()
	ctx := context.Background()
	node, err := wigeontiller.New(ctx, s, memory.New(), zerolog.Nop())
	if err != nil {
		fmt.Println(err)
		return
	}
	if err := node.Start(); err != nil {
		fmt.Println(err)
		return
	}
	for !node.Ready() {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("ready")
	fmt.Println(node.Shutdown(ctx))
	// Output:
	// ready
	// <nil>
}
