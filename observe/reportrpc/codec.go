package reportrpc

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeontiller/wigeontiller/observe"
)

// digest is the short name of an address or model in messages.
func digest(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // the low half is meant
}

func count(n int) uint32 {
	return uint32(min(max(n, 0), math.MaxUint32)) //nolint:gosec // bounded in the line
}

// encode returns observations as a message; their streams are not sent.
func encode(now time.Time, observations []observe.Observation) *TellRequest {
	request := &TellRequest{}
	for _, o := range observations {
		report := &Report{
			Engine:      digest(o.Address),
			Incarnation: uint64(o.Load.Incarnation), //nolint:gosec // the same bits
			AgeMs:       count(int(now.Sub(o.At).Milliseconds())),
			Queue:       count(o.Load.Queue),
			Running:     count(o.Load.Running),
			KvTokens:    count(o.Load.KVTokens),
			Leaving:     o.Load.Leaving,
			TakesOrders: o.Load.Models != nil,
		}
		for _, name := range o.Load.Models {
			report.Models = append(report.Models, digest(name))
		}
		request.Reports = append(request.Reports, report)
	}
	return request
}

// decode returns a message as observations. Engines and models that the targets
// don't name are left out.
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
				Leaving:     report.Leaving,
				Models:      modelsOf(report, target),
			},
		})
	}
	return observations
}

func modelsOf(report *Report, target observe.Target) []string {
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
