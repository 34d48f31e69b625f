package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/wigeontiller/wigeontiller/soak"
	"github.com/wigeontiller/wigeontiller/soak/report"
)

const (
	defaultSoakDuration = time.Minute
	// defaultSoakRatePerSecond is the mean rate of arrivals.
	defaultSoakRatePerSecond = 25
)

// soakOptions holds the flags of the soak command.
type soakOptions struct {
	seed     uint64
	duration time.Duration
	rate     float64
	plot     string
	log      string
}

func addSoak(parser *flaggy.Parser) []*command {
	sub := newSubcommand("soak", "Run a whole site in this process under random faults and check what must always hold.")
	sub.AdditionalHelpAppend = "The seed gives the plan of faults and arrivals, not the order in which goroutines run. " +
		"The exit code is 1 when an invariant was broken."
	options := &soakOptions{seed: 1, duration: defaultSoakDuration, rate: defaultSoakRatePerSecond}
	sub.UInt64(&options.seed, "s", "seed", "Seed of the faults and arrivals.")
	sub.Duration(&options.duration, "t", "duration", "Time over which requests arrive and faults begin.")
	sub.Float64(&options.rate, "r", "rate", "Mean of arrivals a second.")
	sub.String(&options.plot, "p", "plot", "SVG file to draw first tokens, refusals and faults over time into.")
	sub.String(&options.log, "l", "log", "File for the nodes' log; without it they log nothing.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: options.run}}
}

func (o *soakOptions) run(env *environment) error {
	if o.duration <= 0 || o.rate <= 0 {
		return eris.Wrap(ErrUsage, "--duration and --rate must be above 0")
	}
	logger, closeLog, err := o.logger()
	if err != nil {
		return err
	}
	defer closeLog()
	plan := soak.NewPlan(o.seed, o.duration, o.rate)
	if err := o.printPlan(env, plan); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	record, err := soak.Run(ctx, plan, logger)
	if err != nil {
		return err
	}
	result := soak.NewReport(record)
	if err := o.draw(result); err != nil {
		return err
	}
	if err := env.print(result, report.Text(result)); err != nil {
		return err
	}
	return breachError(result)
}

// breachError returns ErrBreach with the command that replays the run if an invariant was
// violated.
func breachError(result *soak.Report) error {
	if result.Breaches() > 0 {
		return eris.Wrap(ErrBreach, result.Replay)
	}
	return nil
}

// printPlan prints the plan before the run. With JSON output it goes to stderr, so that
// stdout holds only the JSON.
func (o *soakOptions) printPlan(env *environment, plan *soak.Plan) error {
	out := env.stdout
	if env.output == outputJSON {
		out = env.stderr
	}
	_, err := fmt.Fprint(out, report.Plan(plan))
	return eris.Wrap(err, "print the plan")
}

// logger returns a logger to the file of the log flag and a function that closes it.
// Without the flag the logger discards all lines.
func (o *soakOptions) logger() (zerolog.Logger, func(), error) {
	if o.log == "" {
		return zerolog.New(io.Discard), func() {}, nil
	}
	file, err := os.Create(o.log)
	if err != nil {
		return zerolog.Nop(), nil, eris.Wrap(err, "create the log")
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(zerolog.SyncWriter(file)).With().Timestamp().Logger(), func() { _ = file.Close() }, nil
}

func (o *soakOptions) draw(result *soak.Report) error {
	if o.plot == "" {
		return nil
	}
	file, err := os.Create(o.plot)
	if err != nil {
		return eris.Wrap(err, "create the plot")
	}
	if err := report.SVG(file, result); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "close the plot")
}
