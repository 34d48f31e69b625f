// Package configuration stores what operators decide: the environments with their
// trial and production documents, and the data centres and VMs that are out of
// service. All of it is one row of the platform's table, so that all accepted
// commands have a total order. This file and commands.go do no I/O.
package configuration

import (
	"maps"
	"slices"
)

const (
	// maxOutcomes bounds how many command outcomes the site row keeps.
	maxOutcomes = 256
)

// Site is the value of the site row. It is never changed in place.
type Site struct {
	// Version grows by one with each accepted command.
	Version uint64 `json:"version"`
	// Environments maps a name to its documents.
	Environments map[string]Environment `json:"environments"`
	// OutOfServiceDataCentres and OutOfServiceVMs hold the names that operators
	// took out of service.
	OutOfServiceDataCentres map[string]bool `json:"out_data_centres"`
	OutOfServiceVMs         map[string]bool `json:"out_vms"`
	// Outcomes holds the outcomes of the latest commands, oldest first.
	Outcomes []Outcome `json:"outcomes"`
}

// Environment names the documents of one environment by digest.
type Environment struct {
	// Version is the site version of the last change to the environment.
	Version uint64 `json:"version"`
	// TrialDigest is empty when nothing is in trial.
	TrialDigest string `json:"trial_digest,omitempty"`
	// ProductionDigest is empty before the first promotion and after withdrawal.
	ProductionDigest string `json:"production_digest,omitempty"`
}

// Outcome is the answer to one command.
type Outcome struct {
	CommandID string `json:"command_id"`
	// Kind is the kind of the command.
	Kind Kind `json:"kind"`
	// Target names the environment, data centre or VM.
	Target string `json:"target"`
	// Digest is the digest of the command's document, if any.
	Digest string `json:"digest,omitempty"`
	// OutOfService is true when SetDataCentre or SetVM took the target out of service.
	OutOfService bool `json:"out,omitempty"`
	// Version is the site version that the command created.
	Version uint64 `json:"version"`
}

// NewSite returns the site before any command.
func NewSite() Site {
	return Site{
		Environments:            map[string]Environment{},
		OutOfServiceDataCentres: map[string]bool{},
		OutOfServiceVMs:         map[string]bool{},
	}
}

// NewerThan reports whether s is newer than other and so replaces it at a node.
func (s Site) NewerThan(other Site) bool {
	return s.Version > other.Version
}

// Digests returns the digests of the documents that the site names, sorted.
func (s Site) Digests() []string {
	found := map[string]bool{}
	for _, environment := range s.Environments {
		found[environment.TrialDigest] = true
		found[environment.ProductionDigest] = true
	}
	delete(found, "")
	return slices.Sorted(maps.Keys(found))
}

// Outcome returns the outcome of an earlier command.
func (s Site) Outcome(commandID string) (Outcome, bool) {
	for _, outcome := range s.Outcomes {
		if outcome.CommandID == commandID {
			return outcome, true
		}
	}
	return Outcome{}, false
}

func (s Site) clone() Site {
	s.Environments = maps.Clone(s.Environments)
	s.OutOfServiceDataCentres = maps.Clone(s.OutOfServiceDataCentres)
	s.OutOfServiceVMs = maps.Clone(s.OutOfServiceVMs)
	s.Outcomes = slices.Clone(s.Outcomes)
	return s
}
