// Package standincli implements the command line of the stand-ins.
package standincli

import (
	"context"
	"crypto/ed25519"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/standin/engine"
	"github.com/wigeontiller/wigeontiller/standin/fault"
	"github.com/wigeontiller/wigeontiller/standin/platformserver"
	"github.com/wigeontiller/wigeontiller/standin/service"
	"github.com/wigeontiller/wigeontiller/storage/memory"
)

const (
	exitFailure = 1
	exitUsage   = 2

	defaultSlots                  = 16
	defaultKVTokens               = 400_000
	defaultPrefillTokensPerSecond = 40_000
	defaultTokenInterval          = 20 * time.Millisecond
)

var errOrdersKey = eris.New("--orders-key must be an Ed25519 public key as PEM")

// options are the flags of every stand-in.
type options struct {
	address string
	name    string
	engine  engine.Config
	// ordersKey is the path of the public key that verifies orders, in PEM.
	ordersKey string
}

// loadOrdersKey makes the engine verify the signatures of orders if a key file is set.
func (o *options) loadOrdersKey() error {
	if o.ordersKey == "" {
		return nil
	}
	text, err := os.ReadFile(o.ordersKey)
	if err != nil {
		return err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return errOrdersKey
	}
	parsed, err := x509.ParsePKIXPublicKey(block.Bytes)
	if err != nil {
		return err
	}
	key, ok := parsed.(ed25519.PublicKey)
	if !ok {
		return errOrdersKey
	}
	o.engine.Orders.Key, o.engine.Orders.Address = key, o.address
	return nil
}

// Run runs one stand-in until SIGTERM or SIGINT and returns the exit code.
func Run(args []string, stderr io.Writer) int {
	chosen := options{
		address: "127.0.0.1:9000",
		name:    "service",
		engine: engine.Config{
			Slots:                  defaultSlots,
			KVTokens:               defaultKVTokens,
			PrefillTokensPerSecond: defaultPrefillTokensPerSecond,
			TokenInterval:          defaultTokenInterval,
		},
	}
	parser := flaggy.NewParser("wigeontiller-standin")
	parser.Description = "Stand-ins for model engines, plain services and the platform. Faults are set at " + fault.PathControl + "."
	parser.String(&chosen.address, "a", "address", "IP address and port to listen on.")
	engines := flaggy.NewSubcommand("engine")
	engines.Description = "A model engine."
	engines.Int(&chosen.engine.Slots, "", "slots", "Sequences batched at once.")
	engines.Int(&chosen.engine.KVTokens, "", "kv-tokens", "KV memory in tokens.")
	engines.Int(&chosen.engine.PrefillTokensPerSecond, "", "prefill", "Prompt tokens read a second.")
	engines.Duration(&chosen.engine.TokenInterval, "", "token-interval", "Time between tokens.")
	engines.Duration(&chosen.engine.Grace, "", "grace", "How long a stream without a reader runs on.")
	engines.Duration(&chosen.engine.ColdStart, "", "cold-start", "Time after a start in which it bears one request at a time.")
	engines.Int(&chosen.engine.PrefixCacheTokens, "", "prefix-cache", "Memory in tokens for the starts of prompts that were read; 0 is none.")
	engines.Bool(&chosen.engine.Orders.Managed, "", "orders", "Take orders and serve only what is loaded.")
	engines.StringSlice(&chosen.engine.Orders.Models, "", "model", "A model loaded at each start; may stand more than once.")
	engines.Bool(&chosen.engine.Orders.Fencing, "", "fencing", "Refuse orders with an old fencing number.")
	engines.Duration(&chosen.engine.Orders.LoadTime, "", "load-time", "Time that an order takes to load.")
	engines.String(&chosen.engine.Orders.Role, "", "role", "The role at each start; empty for none.")
	engines.String(&chosen.ordersKey, "", "orders-key", "File of the public key that orders must be signed for.")
	services := flaggy.NewSubcommand("service")
	services.Description = "A plain service."
	services.String(&chosen.name, "n", "name", "The service's name.")
	platforms := flaggy.NewSubcommand("platform")
	platforms.Description = "The table service, the object store and the list of VMs."
	for _, subcommand := range []*flaggy.Subcommand{engines, services, platforms} {
		parser.AttachSubcommand(subcommand, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		_, _ = fmt.Fprintln(stderr, "wigeontiller-standin:", err)
		return exitUsage
	}
	control := new(fault.Control)
	switch {
	case engines.Used:
		if err := chosen.loadOrdersKey(); err != nil {
			_, _ = fmt.Fprintln(stderr, "wigeontiller-standin:", err)
			return exitUsage
		}
		return serve(stderr, engine.NewServer(chosen.engine, control).App(), chosen.address)
	case services.Used:
		return serve(stderr, service.NewServer(chosen.name, control).App(), chosen.address)
	case platforms.Used:
		return serve(stderr, platformserver.NewServer(memory.New(), control).App(), chosen.address)
	}
	parser.ShowHelp()
	return exitUsage
}

func serve(stderr io.Writer, app *fiber.App, address string) int {
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go func() {
		<-stopped.Done()
		_ = app.ShutdownWithTimeout(time.Second)
	}()
	if err := app.Listen(address); err != nil {
		_, _ = fmt.Fprintln(stderr, "wigeontiller-standin:", err)
		return exitFailure
	}
	return 0
}
