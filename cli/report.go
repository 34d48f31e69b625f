package cli

import (
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/dayreport"
)

// mostReports is how many days are drawn side by side.
const mostReports = 2

func addReport(parser *flaggy.Parser) []*command {
	parsed := subcommand("report", "Show one or two days that the users' bench reported, side by side.")
	files := addFiles(parsed, 1, mostReports, "A file that the bench wrote with --report.")
	var svg string
	parsed.String(&svg, "p", "plot", "A file to draw the days to, as SVG.")
	parser.AttachSubcommand(parsed, 1)
	return []*command{{parsed: parsed, run: func(env *environment) error { return reportDays(env, given(files), svg) }}}
}

func reportDays(env *environment, files []string, svg string) error {
	days := make([]*dayreport.Day, 0, len(files))
	for _, name := range files {
		day, err := readDay(name)
		if err != nil {
			return err
		}
		days = append(days, day)
	}
	if svg != "" {
		if err := drawTo(svg, func(w io.Writer) error { return dayreport.SVG(w, files, days) }); err != nil {
			return err
		}
	}
	return env.print(days, dayreport.Text(files, days))
}

func readDay(name string) (*dayreport.Day, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	defer func() { _ = file.Close() }()
	day, err := dayreport.Read(file)
	return day, eris.Wrap(err, name)
}

// drawTo writes a drawing to a file.
func drawTo(name string, draw func(io.Writer) error) error {
	file, err := os.Create(name)
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	if err := draw(file); err != nil {
		_ = file.Close()
		return err
	}
	return eris.Wrap(file.Close(), name)
}

// defaultJournal is where the bench writes its entries.
const defaultJournal = "journal"

func addJournal(parser *flaggy.Parser) []*command {
	parsed := subcommand("journal", "List the runs of the users' bench, and draw the mean worth of the scores.")
	directory := defaultJournal
	parsed.AddPositionalValue(&directory, "directory", 1, false, "The journal's directory.")
	var svg, site, run string
	parsed.String(&svg, "p", "plot", "A file to draw the scores to, as SVG.")
	parsed.String(&site, "s", "site", "Only runs of this site.")
	parsed.String(&run, "r", "run", "Only runs of this kind: score, run, hunt, incident, replay.")
	parser.AttachSubcommand(parsed, 1)
	return []*command{{parsed: parsed, run: func(env *environment) error {
		return listJournal(env, directory, svg, func(e *dayreport.Entry) bool {
			return (site == "" || e.Site == site) && (run == "" || e.Command == run)
		})
	}}}
}

func listJournal(env *environment, directory, svg string, wanted func(*dayreport.Entry) bool) error {
	all, err := dayreport.ReadJournal(os.DirFS(directory))
	if err != nil {
		return eris.Wrap(err, directory)
	}
	var entries []dayreport.Entry
	for i := range all {
		if wanted(&all[i]) {
			entries = append(entries, all[i])
		}
	}
	if svg != "" {
		if err := drawTo(svg, func(w io.Writer) error { return dayreport.JournalSVG(w, entries) }); err != nil {
			return err
		}
	}
	return env.print(entries, dayreport.JournalText(entries))
}
