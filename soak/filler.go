package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// fillerAttempt holds memory that no request of the load has.
	fillerAttempt = "soak-filler"
	// fillerMargin is how long its reservation outlasts the fault if it can't
	// be freed.
	fillerMargin = time.Second
	// fillerTries is how often the free memory is measured again.
	fillerTries = 5
)

// fill holds half of an engine's memory, or all that is free, by a reservation
// of the kind that groups use.
func (i *injector) fill(ctx context.Context, planned Fault) string {
	filled := i.site.engines[planned.Target]
	for range fillerTries {
		tokens := engineTokens - filled.server.Engine().Load().KVTokens
		if planned.Kind == EngineMemorySmall {
			tokens = min(tokens, engineTokens/2)
		}
		if !reserve(ctx, filled.address, tokens, planned.For+fillerMargin) {
			continue
		}
		pause(ctx, planned.For)
		unreserve(ctx, filled.address)
		return fmt.Sprintf("%d tokens held", tokens)
	}
	return "not shown: the engine had no memory or place free"
}

func reserve(ctx context.Context, address string, tokens int, length time.Duration) bool {
	body, err := json.Marshal(map[string]any{"attempt": fillerAttempt, "tokens": tokens, "ttl_ms": length.Milliseconds()})
	if err != nil {
		return false
	}
	return request(ctx, http.MethodPost, "http://"+address+reservePath, body)
}

func unreserve(ctx context.Context, address string) {
	request(ctx, http.MethodDelete, "http://"+address+reservePath+"/"+fillerAttempt, nil)
}

// request reports whether a stand-in answered with success.
func request(ctx context.Context, method, url string, body []byte) bool {
	made, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return false
	}
	response, err := httpClient.Do(made)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}
