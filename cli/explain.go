package cli

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/explain"
)

// mostLogs is how many logs a command line takes: those of the largest fleet.
const mostLogs = 320

func addExplain(parser *flaggy.Parser) []*command {
	parsed := subcommand("explain", "Tell what became of one request, from the logs of one or more nodes: explain ID FILE...")
	var id string
	parsed.AddPositionalValue(&id, "id", 1, true, "The request's ID, or the start of it.")
	files := addFiles(parsed, 2, mostLogs, "A node's log.")
	parser.AttachSubcommand(parsed, 1)
	return []*command{{parsed: parsed, run: func(env *environment) error { return explainRequest(env, id, given(files)) }}}
}

func explainRequest(env *environment, id string, files []string) error {
	log := explain.NewLog(id)
	for _, name := range files {
		if err := readLog(env, log, name); err != nil {
			return err
		}
	}
	explained, err := log.Explain()
	if err != nil {
		return eris.Wrap(err, id)
	}
	return env.print(explained, explained.Text())
}

func readLog(env *environment, log *explain.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	defer func() { _ = file.Close() }()
	passedOver, err := explain.Read(file, log.Add)
	if err != nil {
		return eris.Wrap(err, name)
	}
	if passedOver > 0 {
		_, _ = fmt.Fprintf(env.stderr, "%s: %d lines are no log lines\n", name, passedOver)
	}
	return nil
}
