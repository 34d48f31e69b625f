package orders

import (
	"slices"
	"time"
)

// unloadAfter is how long a model must have been without a document that names
// it before it is unloaded, so that a withdrawal soon taken back costs no load.
const unloadAfter = 2 * time.Minute

// Desired is what the documents want of one engine.
type Desired struct {
	Models []string
	// Role is empty where no document names one.
	Role string
	// Exclusive is true when models that no document names are unloaded.
	Exclusive bool
}

// LacksModel reports whether the engine has still to load a model.
func (d Desired) LacksModel(report Report) bool {
	return slices.ContainsFunc(d.Models, func(model string) bool { return !slices.Contains(report.Models, model) })
}

func (d Desired) lacksRole(report Report) bool {
	return d.Role != "" && report.Role != "" && report.Role != d.Role
}

// unwanted remembers since when models have been loaded without being desired.
type unwanted map[string]time.Time

// note takes in a report.
func (u unwanted) note(now time.Time, desired Desired, report Report) {
	for model := range u {
		if !slices.Contains(report.Models, model) || slices.Contains(desired.Models, model) {
			delete(u, model)
		}
	}
	if !desired.Exclusive {
		clear(u)
		return
	}
	for _, model := range report.Models {
		if _, known := u[model]; !known && !slices.Contains(desired.Models, model) {
			u[model] = now
		}
	}
}

// due returns the models to unload, sorted. None is while a desired one is
// missing: what is loaded may still serve.
func (u unwanted) due(now time.Time, desired Desired, report Report) []string {
	if desired.LacksModel(report) {
		return nil
	}
	var models []string
	for model, since := range u {
		if now.Sub(since) >= unloadAfter {
			models = append(models, model)
		}
	}
	slices.Sort(models)
	return models
}
