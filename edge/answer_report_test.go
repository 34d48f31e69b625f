package edge

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

// isLoss reports whether a rule says that a sound answer did not reach its caller.
func isLoss(rule string) bool { return strings.HasPrefix(rule, "LOST") }

// answerReport collects what was wrong.
type answerReport struct {
	mutex sync.Mutex
	plays []*answerPlay
}

func (r *answerReport) add(p *answerPlay) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.plays = append(r.plays, p)
}

// check reports the cells that were wrong, by rule, with examples: those with a broken promise in the subtest "kept",
// those without their answer in "delivered".
func (r *answerReport) check(t *testing.T) {
	t.Helper()
	time.Sleep(lateRunTime)
	const examples = 12
	byRule := map[string][]string{}
	wrong := 0
	for _, p := range r.plays {
		rules := p.wrong()
		if len(rules) > 0 {
			wrong++
		}
		for _, rule := range rules {
			byRule[rule] = append(byRule[rule], fmt.Sprintf("%s: request %s, %s", p.cell, p.id, p.seen()))
		}
	}
	t.Logf("%d of %d cells are wrong", wrong, len(r.plays))
	for name, isOf := range map[string]func(rule string) bool{
		"kept":      func(rule string) bool { return !isLoss(rule) },
		"delivered": isLoss,
	} {
		t.Run(name, func(t *testing.T) {
			for rule, cells := range byRule {
				if !isOf(rule) {
					continue
				}
				slices.Sort(cells)
				t.Errorf("%d cells: %s", len(cells), rule)
				for _, cell := range cells[:min(examples, len(cells))] {
					t.Log(cell)
				}
			}
		})
	}
	writeAnswerReport(t, byRule)
}

// writeAnswerReport writes all wrong cells to the file that WIGEONTILLER_ANSWER_REPORT names, if any.
func writeAnswerReport(t *testing.T, byRule map[string][]string) {
	t.Helper()
	name := os.Getenv("WIGEONTILLER_ANSWER_REPORT")
	if name == "" {
		return
	}
	var b strings.Builder
	for rule, cells := range byRule {
		fmt.Fprintf(&b, "== %d %s\n%s\n", len(cells), rule, strings.Join(cells, "\n"))
	}
	if err := os.WriteFile(name, []byte(b.String()), 0o600); err != nil {
		t.Error(err)
	}
}

func (p *answerPlay) seen() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return fmt.Sprintf("%d sends, %d runs, status %d, signature %q, error %v, body %q", p.sends, p.runs, p.got.status, p.got.header.Get("X-Origin-Signature"), p.got.err, p.got.body)
}
