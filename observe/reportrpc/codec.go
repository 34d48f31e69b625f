package reportrpc

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeontiller/wigeontiller/observe"
)

// digest returns the hash that stands for an address or model name in messages.
func digest(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // the low half is meant
}

func clampToUint32(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32)) //nolint:gosec // bounded in the line
}

// encode converts observations to a message; streams and roles are not sent.
func encode(now time.Time, observations []observe.Observation) *TellRequest {
	request := &TellRequest{}
	for _, o := range observations {
		report := &Report{
			Engine:      digest(o.Address),
			Incarnation: uint64(o.Load.Incarnation), //nolint:gosec // the same bits
			AgeMs:       clampToUint32(int(now.Sub(o.At).Milliseconds())),
			Queue:       clampToUint32(o.Load.Queue),
			Running:     clampToUint32(o.Load.Running),
			KvTokens:    clampToUint32(o.Load.KVTokens),
			Leaving:     o.Load.Draining,
			TakesOrders: o.Load.Models != nil,
		}
		for _, name := range o.Load.Models {
			report.Models = append(report.Models, digest(name))
		}
		request.Reports = append(request.Reports, report)
	}
	return request
}

// decode converts a message to observations. Engines and models that the targets
// don't name are left out. Ages are subtracted from now.
func decode(now time.Time, request *TellRequest, targets []observe.Target) []observe.Observation {
	byDigest := map[uint32]observe.Target{}
	for _, target := range targets {
		byDigest[digest(target.Address)] = target
	}
	var observations []observe.Observation
	for _, report := range request.Reports {
		target, known := byDigest[report.Engine]
		if !known {
			continue
		}
		observations = append(observations, observe.Observation{
			Address: target.Address,
			At:      now.Add(-time.Duration(report.AgeMs) * time.Millisecond),
			Load: observe.Load{
				Incarnation: int64(report.Incarnation), //nolint:gosec // the same bits
				Queue:       int(report.Queue),
				Running:     int(report.Running),
				KVTokens:    int(report.KvTokens),
				Draining:    report.Leaving,
				Models:      loadedModels(report, target),
			},
		})
	}
	return observations
}

func loadedModels(report *Report, target observe.Target) []string {
	if !report.TakesOrders {
		return nil
	}
	loaded := map[uint32]bool{}
	for _, model := range report.Models {
		loaded[model] = true
	}
	models := []string{}
	for _, name := range target.Models {
		if loaded[digest(name)] {
			models = append(models, name)
		}
	}
	return models
}
