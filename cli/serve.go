package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/storage/httpstorage"
)

// shutdownTimeout limits a graceful shutdown. It is longer than any request deadline
// in use, so that no request is aborted.
const shutdownTimeout = 30 * time.Minute

func addServe(parser *flaggy.Parser) []*command {
	sub := newSubcommand("serve", "Run one entry node until SIGTERM.")
	var file string
	sub.AddPositionalValue(&file, "settings", 1, true, "The node's settings file.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error { return serve(env, file) }}}
}

func serve(env *environment, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	nodeSettings, err := settings.Parse(data)
	if err != nil {
		return eris.Wrap(err, file)
	}
	level, err := zerolog.ParseLevel(nodeSettings.LogLevel)
	if err != nil {
		return eris.Wrap(ErrUsage, "log_level: "+err.Error())
	}
	client, err := httpstorage.NewClient(nodeSettings.PlatformURL)
	if err != nil {
		return err
	}
	logger := zerolog.New(env.stderr).Level(level).With().Timestamp().Logger()
	return runNode(nodeSettings, client, logger)
}

func runNode(nodeSettings *settings.Settings, client *httpstorage.Client, logger zerolog.Logger) error {
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	node, err := wigeontiller.New(stopped, nodeSettings, client, logger)
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	<-stopped.Done()
	stop()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return node.Shutdown(ctx)
}
