package cli

import (
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/bench"
	"github.com/wigeontiller/wigeontiller/bench/report"
)

// ErrBreach is returned when a run violated an invariant.
var ErrBreach = eris.New("an invariant did not hold; the seed is printed above")

// benchOptions holds the flags of the bench command.
type benchOptions struct {
	seed       uint64
	deployment string
	plot       string
	random     bool
	prefixes   bool
	load       float64
	duration   time.Duration
}

func addBench(parser *flaggy.Parser) []*command {
	sub := newSubcommand("bench", "Measure the routing decisions in virtual time against models of the upstreams.")
	sub.AdditionalHelpAppend = "The product, round robin and least loaded run the same seeded requests. " +
		"The exit code is 1 when a run of the product broke an invariant."
	options := &benchOptions{seed: 1, deployment: "works"}
	sub.UInt64(&options.seed, "s", "seed", "Seed of the requests, links and faults; the same seed gives the same figures.")
	sub.String(&options.deployment, "d", "deployment", "Site to measure: works, cooperative, data-centre or fleet.")
	sub.String(&options.plot, "p", "plot", "SVG file to draw the first-token time by prompt length into.")
	sub.Bool(&options.random, "r", "random", "Instead check the invariants under random faults.")
	sub.Bool(&options.prefixes, "x", "shared-prefixes", "Instead compare the product with and without prefix affinity on prompts that begin alike.")
	sub.Float64(&options.load, "l", "load", "Prompt tokens that arrive, as a share of what all engines can read; the default is the site's.")
	sub.Duration(&options.duration, "t", "duration", "Virtual time over which requests arrive; the default is the site's.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: options.run}}
}

func (o *benchOptions) run(env *environment) error {
	deployment, err := bench.DeploymentByName(o.deployment)
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	if o.duration < 0 {
		return eris.Wrap(ErrUsage, "--duration must not be negative")
	}
	if o.duration > 0 {
		deployment.Duration = o.duration
	}
	if o.load < 0 {
		return eris.Wrap(ErrUsage, "--load must not be negative")
	}
	if o.load > 0 {
		deployment.Load = o.load
	}
	if o.prefixes {
		return o.comparePrefixes(env, deployment)
	}
	if o.random {
		return o.checkInvariants(env, deployment)
	}
	return o.measure(env, deployment)
}

func (o *benchOptions) checkInvariants(env *environment, deployment bench.Deployment) error {
	checked, err := bench.RunRandom(o.seed, deployment, deployment.Duration)
	if err != nil {
		return err
	}
	if err := env.print(checked, report.RandomText(checked)); err != nil {
		return err
	}
	if len(checked.Breaches) > 0 {
		return ErrBreach
	}
	return nil
}

func (o *benchOptions) comparePrefixes(env *environment, deployment bench.Deployment) error {
	compared, err := bench.ComparePrefixes(o.seed, deployment)
	if err != nil {
		return err
	}
	if err := env.print(compared, report.PrefixText(compared)); err != nil {
		return err
	}
	for _, result := range compared.Results {
		if len(result.Breaches) > 0 {
			return ErrBreach
		}
	}
	return nil
}

func (o *benchOptions) measure(env *environment, deployment bench.Deployment) error {
	comparison, err := bench.Compare(o.seed, deployment)
	if err != nil {
		return err
	}
	if err := o.draw(comparison); err != nil {
		return err
	}
	if err := env.print(comparison, report.Text(comparison)); err != nil {
		return err
	}
	for _, result := range comparison.Policies[0].Results {
		if len(result.Breaches) > 0 {
			return ErrBreach
		}
	}
	return nil
}

func (o *benchOptions) draw(comparison *bench.Comparison) error {
	if o.plot == "" {
		return nil
	}
	file, err := os.Create(o.plot)
	if err != nil {
		return eris.Wrap(err, "create the plot")
	}
	if err := report.SVG(file, comparison); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), "close the plot")
}
