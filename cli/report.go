package cli

import (
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/dayreport"
)

// maxReportFiles is the number of days that can be shown side by side.
const maxReportFiles = 2

func addReport(parser *flaggy.Parser) []*command {
	sub := newSubcommand("report", "Show one or two days that the users' bench reported, side by side.")
	files := addFiles(sub, 1, maxReportFiles, "A file that the bench wrote with --report.")
	var svg string
	sub.String(&svg, "p", "plot", "A file to draw the days to, as SVG.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error { return reportDays(env, givenFiles(files), svg) }}}
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
		if err := writePlot(svg, func(w io.Writer) error { return dayreport.SVG(w, files, days) }); err != nil {
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

// writePlot creates a file and lets draw write the plot to it.
func writePlot(name string, draw func(io.Writer) error) error {
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

// defaultJournal is the directory to which the users' bench writes its entries.
const defaultJournal = "journal"

func addJournal(parser *flaggy.Parser) []*command {
	sub := newSubcommand("journal", "List the runs of the users' bench, and draw the mean worth of the scores.")
	directory := defaultJournal
	sub.AddPositionalValue(&directory, "directory", 1, false, "The journal's directory.")
	var svg, site, run string
	sub.String(&svg, "p", "plot", "A file to draw the scores to, as SVG.")
	sub.String(&site, "s", "site", "Only runs of this site.")
	sub.String(&run, "r", "run", "Only runs of this kind: score, run, hunt, incident, replay.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error {
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
		if err := writePlot(svg, func(w io.Writer) error { return dayreport.JournalSVG(w, entries) }); err != nil {
			return err
		}
	}
	return env.print(entries, dayreport.JournalText(entries))
}
