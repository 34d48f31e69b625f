package orders

import (
	"slices"
	"time"
)

// unloadAfter is how long no document must name a loaded model before it is
// unloaded, so that a withdrawal that is soon reverted costs no load.
const unloadAfter = 2 * time.Minute

// Desired is the state that the environment documents specify for one engine.
type Desired struct {
	Models []string
	// Role is empty when no document names one.
	Role string
	// Exclusive is true when models that no document names are to be unloaded.
	Exclusive bool
}

// LacksModel reports whether the engine has not loaded all desired models.
func (d Desired) LacksModel(report Report) bool {
	return slices.ContainsFunc(d.Models, func(model string) bool { return !slices.Contains(report.Models, model) })
}

func (d Desired) lacksRole(report Report) bool {
	return d.Role != "" && report.Role != "" && report.Role != d.Role
}

// unwanted maps each model that is loaded but not desired to the time when that
// began.
type unwanted map[string]time.Time

// update applies a report.
func (u unwanted) update(now time.Time, desired Desired, report Report) {
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

// due returns the models to unload, sorted. There are none while a desired model
// is missing, since the loaded ones may still serve requests.
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
