package soak

import "fmt"

// Invariant is something that must always hold, and whether it did.
type Invariant struct {
	Name string `json:"name"`
	// Timed is true when the verdict rests on the machine's speed too.
	Timed bool `json:"timed"`
	// Checked counts the cases looked at; 0 means that the check never ran.
	Checked  int      `json:"checked"`
	Breaches []string `json:"breaches"`
}

// breach adds a breach.
func (i *Invariant) breach(format string, arguments ...any) {
	i.Breaches = append(i.Breaches, fmt.Sprintf(format, arguments...))
}

// hold counts a case and adds a breach when the condition does not hold.
func (i *Invariant) hold(condition bool, format string, arguments ...any) {
	i.Checked++
	if !condition {
		i.breach(format, arguments...)
	}
}

// Check returns all invariants of a record.
func Check(record *Record) []Invariant {
	var checked []Invariant
	for _, check := range []struct {
		name  string
		timed bool
		run   func(*Record, *Invariant)
	}{
		{"a call with a side effect ran at most once", false, checkSideEffects},
		{"the execution told is true", false, checkExecution},
		{"each caller got its own answer only", false, checkOwnAnswers},
		{"an answer is whole or ends in an error", false, checkEndings},
		{"one promotion at most replaces a version", false, checkPromotions},
		{"a node's version never falls", false, checkVersionFalls},
		{"nodes' own invariants held", false, checkCounters},
		{"a request ends by its deadline and the grace", true, checkDeadlines},
		{"no new work where something was taken out", true, checkOut},
		{"a graceful shutdown cuts no request", true, checkShutdown},
		{"an accepted version is in force everywhere in time", true, checkInForce},
		{"engines hold no memory after the load", true, checkMemory},
		{"nodes hold no request after the load", true, checkRests},
		{"nodes start and end", true, checkLives},
	} {
		invariant := Invariant{Name: check.name, Timed: check.timed, Breaches: []string{}}
		check.run(record, &invariant)
		checked = append(checked, invariant)
	}
	return checked
}
