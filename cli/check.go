package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/edge"
	documents "github.com/wigeontiller/wigeontiller/environment"
	"github.com/wigeontiller/wigeontiller/settings"
	"github.com/wigeontiller/wigeontiller/strictyaml"
)

// ErrInvalid is returned when a checked file has problems.
var ErrInvalid = eris.New("the file is not valid")

// checkReport is the result of the check command.
type checkReport struct {
	File     string            `json:"file"`
	Kind     string            `json:"kind"`
	Valid    bool              `json:"valid"`
	Problems strictyaml.Errors `json:"problems,omitempty"`
}

func addCheck(parser *flaggy.Parser) []*command {
	sub := newSubcommand("check", "Check a settings file of either kind or an environment document.")
	var file string
	sub.AddPositionalValue(&file, "file", 1, true, "The file to check.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error { return check(env, file) }}}
}

func check(env *environment, file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(ErrUsage, err.Error())
	}
	report := checkReport{File: file, Kind: detectKind(data)}
	switch report.Kind {
	case kindSettings:
		_, err = settings.Parse(data)
	case kindEdge:
		_, err = edge.ParseSettings(data)
	default:
		_, err = documents.Parse(data)
	}
	report.Valid = err == nil
	errors.As(err, &report.Problems)
	if printErr := env.print(report, report.text()); printErr != nil {
		return printErr
	}
	if !report.Valid {
		return ErrInvalid
	}
	return nil
}

const (
	kindSettings    = "settings"
	kindEdge        = "edge settings"
	kindEnvironment = "environment"
)

// detectKind distinguishes both kinds of settings from an environment document by the
// addresses that only settings contain.
func detectKind(data []byte) string {
	var probe struct {
		CallerAddress string `yaml:"caller_address"`
		StoreAddress  string `yaml:"store_address"`
	}
	fits := strictyaml.DecodeLenient(data, &probe)
	switch {
	case fits && probe.StoreAddress != "":
		return kindEdge
	case fits && probe.CallerAddress != "":
		return kindSettings
	}
	return kindEnvironment
}

func (r checkReport) text() string {
	if r.Valid {
		return fmt.Sprintf("%s: valid %s\n", r.File, r.Kind)
	}
	text := ""
	for _, problem := range r.Problems {
		text += fmt.Sprintf("%s: %s\n", r.File, problem.Error())
	}
	return text
}
