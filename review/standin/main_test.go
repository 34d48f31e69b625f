//go:build review

// Package standin plays the cases of the review: it starts nodes with the command of the deploy file, plays
// their clients, workers and platform on loopback addresses, and judges one rule by what these have seen. Its
// test binary is the program of the scripts: it exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run.
package standin

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// trouble is false for the same run without the disruption.
var trouble = os.Getenv("TROUBLE") != "0"

// cases are the scripts' cases by name.
var cases = map[string]func(p *platform) (broken bool, err error){}

// maxTime bounds a case.
const maxTime = 110 * time.Second

// TestMain plays the case that the arguments name.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play runs one case and returns the exit code.
func play(name, file string) int {
	r, err := openRecord(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	r.line("case %s, trouble %v", name, trouble)
	p, err := startPlatform(r)
	if err != nil {
		r.line("the case could not run: %v", err)
		return 2
	}
	defer p.close()
	type outcome struct {
		broken bool
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		broken, err := cases[name](p)
		ended <- outcome{broken: broken, err: err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	broken := false
	select {
	case o := <-ended:
		broken, err = o.broken, o.err
	case <-stop:
		err = errors.New("stopped")
	case <-time.After(maxTime):
		err = errors.New("not ended in time")
	}
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
		return 2
	case broken:
		r.line("the rule was broken")
		return 1
	}
	r.line("the rule held")
	return 0
}
