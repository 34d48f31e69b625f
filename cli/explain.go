package cli

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/explain"
)

// maxLogFiles is the number of logs that a command line accepts: one for each node of
// the largest fleet.
const maxLogFiles = 320

func addExplain(parser *flaggy.Parser) []*command {
	sub := newSubcommand("explain", "Tell what became of one request, from the logs of one or more nodes: explain ID FILE...")
	var id string
	sub.AddPositionalValue(&id, "id", 1, true, "The request's ID, or the start of it.")
	files := addFiles(sub, 2, maxLogFiles, "A node's log.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error { return explainRequest(env, id, givenFiles(files)) }}}
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
	skippedLines, err := explain.Read(file, log.Add)
	if err != nil {
		return eris.Wrap(err, name)
	}
	if skippedLines > 0 {
		_, _ = fmt.Fprintf(env.stderr, "%s: %d lines are no log lines\n", name, skippedLines)
	}
	return nil
}
