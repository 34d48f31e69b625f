// Package observe reads the load reports of a data centre's engines: one node
// polls each engine, hands what it reads to its scheduler and to the other
// nodes, and cancels the streams that lost their owner.
package observe

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeontiller/wigeontiller/orphan"
)

// ErrReport is returned for a load report that can't be read.
var ErrReport = eris.New("load report can't be read")

// Load is an engine's own word on itself.
type Load struct {
	// Incarnation changes with each start.
	Incarnation int64
	Queue       int
	Running     int
	KVTokens    int
	Leaving     bool
	// Models is what is loaded; nil when the engine takes no orders.
	Models []string
	// Role is empty for an engine without roles. Other nodes are not told of it.
	Role    string
	Streams []orphan.Stream
}

// wireLoad is a report as engines write it.
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

// ParseLoad reads an engine's report. Error: ErrReport.
func ParseLoad(data []byte) (Load, error) {
	var wire wireLoad
	if err := json.Unmarshal(data, &wire); err != nil {
		return Load{}, eris.Wrap(ErrReport, err.Error())
	}
	load := Load{
		Incarnation: wire.Incarnation,
		Queue:       max(0, wire.Queue),
		Running:     max(0, wire.Running),
		KVTokens:    max(0, wire.KVTokens),
		Leaving:     wire.Leaving,
		Models:      wire.Models,
		Role:        wire.Role,
	}
	for _, s := range wire.Streams {
		age := time.Duration(s.AgeMS) * time.Millisecond
		load.Streams = append(load.Streams, orphan.Stream{ID: s.ID, Owner: orphan.ParseOwner(s.Owner), Age: age})
	}
	return load, nil
}
