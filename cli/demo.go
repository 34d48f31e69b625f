package cli

import (
	"context"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/demo"
)

const demoStopTimeout = 30 * time.Second

func addDemo(parser *flaggy.Parser) []*command {
	sub := newSubcommand("demo", "Run three entry nodes and their stand-ins in one process.")
	traces := ""
	sub.String(&traces, "", "traces", "Where traces go: stdout or an OTLP URL.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error { return runDemo(env, traces) }}}
}

func runDemo(env *environment, traces string) error {
	stopped, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := zerolog.New(env.stderr).Level(zerolog.WarnLevel).With().Timestamp().Logger()
	running, err := demo.Start(stopped, logger, traces)
	if err != nil {
		return err
	}
	if err := demo.WriteHelp(env.stdout); err != nil {
		return err
	}
	<-stopped.Done()
	stop()
	ctx, cancel := context.WithTimeout(context.Background(), demoStopTimeout)
	defer cancel()
	return running.Stop(ctx)
}
