package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/edge"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

const (
	// edgeSettingsVariable names the environment variable with the path of an edge
	// node's settings.
	edgeSettingsVariable = "WIGEONTILLER_CONFIG"
	// logBufferLines is the number of log lines that may wait to be written.
	logBufferLines = 1024
)

func addEdge(parser *flaggy.Parser) []*command {
	sub := newSubcommand("edge", "Run one node of a fleet on the users' platform until SIGTERM.")
	file := os.Getenv(edgeSettingsVariable)
	sub.AddPositionalValue(&file, "settings", 1, false, "The settings file; default $"+edgeSettingsVariable+".")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error { return runEdge(env, file) }}}
}

func runEdge(env *environment, file string) error {
	settings, err := readEdgeSettings(file)
	if err != nil {
		return err
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return eris.Wrap(ErrUsage, "log_level: "+err.Error())
	}
	lines := telemetry.NewLogWriter(env.stdout, logBufferLines)
	defer lines.Close()
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	logger := zerolog.New(lines).Level(level).With().Timestamp().Logger()
	settings.LimitMemory()
	node, err := edge.New(settings, logger)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	go func() {
		for range reload {
			checkReload(file, settings, logger)
		}
	}()
	return node.Run(ctx)
}

func readEdgeSettings(file string) (*edge.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	settings, err := edge.ParseSettings(data)
	if err != nil {
		return nil, eris.Wrap(err, file)
	}
	return settings, nil
}

// checkReload reads the settings again and logs whether they differ from those in use.
// Changes need a restart, since a running node keeps its addresses and bounds.
func checkReload(file string, running *edge.Settings, logger zerolog.Logger) {
	settings, err := readEdgeSettings(file)
	if err != nil {
		logger.Error().Err(err).Msg("changed settings are invalid; keeping the settings in use")
		return
	}
	logger.Info().Bool("same", settings.Equal(running)).Msg("settings read again")
}
