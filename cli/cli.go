// Package cli implements the command line of wigeontiller. Each command is one file;
// commands that call a node are clients of its admin API.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime/debug"
	"slices"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// The exit codes of every command.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// ErrUsage is returned for an invalid command line.
var ErrUsage = eris.New("usage")

const (
	outputText = "text"
	outputJSON = "json"
)

// command is one executable command without subcommands of its own.
type command struct {
	sub *flaggy.Subcommand
	run func(*environment) error
}

// environment holds the output streams and the global flags of a command.
type environment struct {
	stdout, stderr io.Writer
	// output is "text" or "json".
	output string
}

// print writes value as JSON or, in the text format, writes text.
func (e *environment) print(value any, text string) error {
	if e.output != outputJSON {
		_, err := fmt.Fprint(e.stdout, text)
		return err
	}
	encoder := json.NewEncoder(e.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// Run executes one command line, given without the program's name, and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	if slices.Contains(args, "") {
		// flaggy panics on an empty argument.
		return exitCode(stderr, eris.Wrap(ErrUsage, "an argument is empty"))
	}
	env := &environment{stdout: stdout, stderr: stderr, output: outputText}
	parser := flaggy.NewParser("wigeontiller")
	parser.Description = "Serving layer for prompts from a thousand to a million tokens."
	parser.Version = Version()
	parser.String(&env.output, "o", "output", "Output format: text or json.")
	var commands []*command
	for _, add := range []func(*flaggy.Parser) []*command{
		addServe, addEdge, addDemo, addCheck, addEnvironment, addState, addStatus, addBench, addSoak, addExplain, addWhere, addReport, addJournal, addKeys, addVersion,
	} {
		commands = append(commands, add(parser)...)
	}
	if err := parser.ParseArgs(args); err != nil {
		return exitCode(stderr, errors.Join(ErrUsage, err))
	}
	if env.output != outputText && env.output != outputJSON {
		return exitCode(stderr, eris.Wrap(ErrUsage, "--output must be text or json"))
	}
	for _, candidate := range commands {
		if candidate.sub.Used {
			return exitCode(stderr, candidate.run(env))
		}
	}
	parser.ShowHelp()
	return ExitUsage
}

func exitCode(stderr io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "wigeontiller:", err)
	if errors.Is(err, ErrUsage) {
		return ExitUsage
	}
	return ExitFailure
}

// Version returns the module version that the program was built from, or "unknown".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "unknown"
	}
	return info.Main.Version
}

func addVersion(parser *flaggy.Parser) []*command {
	sub := newSubcommand("version", "Print the version.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error {
		return env.print(map[string]string{"version": Version()}, Version()+"\n")
	}}}
}

func newSubcommand(name, description string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return sub
}
