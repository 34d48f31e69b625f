// Package standin2 plays the clients, the workers and the platform of the cases of the second review. Its files are tests, so that the
// names of the platform stay out of the program's packages; review/build-2.sh builds them as a program.
package standin2

import (
	"fmt"
	"os"
	"testing"
)

// The exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the cases by name. trouble is false where the same is to be played without the disruption.
var cases = map[string]func(r *record, trouble bool) (int, error){}

// TestMain plays a worker or a case instead of tests.
func TestMain(*testing.M) {
	if len(os.Args) >= 3 && os.Args[1] == "worker" {
		os.Exit(runWorker(os.Args[2:]))
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption: %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.printf("can't run: %v", err)
		code = cannotRun
	}
	r.printf("%s", [...]string{"the rule held", "the rule was broken", "the case could not run"}[code])
	r.close()
	os.Exit(code)
}
