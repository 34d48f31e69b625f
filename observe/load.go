// Package observe collects the load reports of engines. One node polls each
// engine, passes its reports to the local scheduler, publishes them to the other
// nodes, and cancels streams whose owner is gone.
package observe

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/orphan"
)

// ErrInvalidReport is returned for a load report that can't be parsed.
var ErrInvalidReport = eris.New("invalid load report")

// Load is the state that an engine reports of itself.
type Load struct {
	// Incarnation changes with each start of the engine.
	Incarnation int64
	Queue       int
	Running     int
	KVTokens    int
	Draining    bool
	// Models lists the loaded models; nil when the engine takes no orders.
	Models []string
	// Role is empty for an engine without roles. It is not published to other nodes.
	Role    string
	Streams []orphan.Stream
}

// wireLoad is the JSON form of a load report.
type wireLoad struct {
	Incarnation int64    `json:"incarnation"`
	Queue       int      `json:"queue"`
	Running     int      `json:"running"`
	KVTokens    int      `json:"kv_tokens"`
	Leaving     bool     `json:"leaving"`
	Models      []string `json:"models"`
	Role        string   `json:"role"`
	Streams     []struct {
		ID    string `json:"id"`
		Owner string `json:"owner"`
		AgeMS int64  `json:"age_ms"`
	} `json:"streams"`
}

// ParseLoad parses an engine's JSON report and raises negative counts to 0. Error:
// ErrInvalidReport.
func ParseLoad(data []byte) (Load, error) {
	var wire wireLoad
	if err := json.Unmarshal(data, &wire); err != nil {
		return Load{}, eris.Wrap(ErrInvalidReport, err.Error())
	}
	load := Load{
		Incarnation: wire.Incarnation,
		Queue:       max(0, wire.Queue),
		Running:     max(0, wire.Running),
		KVTokens:    max(0, wire.KVTokens),
		Draining:    wire.Leaving,
		Models:      wire.Models,
		Role:        wire.Role,
	}
	for _, s := range wire.Streams {
		age := time.Duration(s.AgeMS) * time.Millisecond
		load.Streams = append(load.Streams, orphan.Stream{ID: s.ID, Owner: orphan.ParseOwner(s.Owner), Age: age})
	}
	return load, nil
}
