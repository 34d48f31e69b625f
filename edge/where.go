package edge

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/follow"
	"github.com/wigeontiller/wigeontiller/placement"
)

// PathWhere is the path, at the metrics address, that answers with a Whereabouts.
const PathWhere = "/where"

// Parameters of PathWhere. Host and path choose the route as those of a request do; the others are optional.
const (
	ParamHost         = "host"
	ParamPath         = "path"
	ParamOrganisation = "organisation"
	ParamPromptTokens = "prompt_tokens"
	ParamAnswerTokens = "answer_tokens"
	ParamTimeoutMs    = "timeout_ms"
)

// Outcomes of a Whereabouts.
const (
	WherePlaced     = "placed"
	WhereWaits      = "waits"
	WhereRefused    = "refused"
	WhereHandedOver = "handed_over"
	WhereNoRoute    = "no_route"
)

// Whereabouts says where a request would go now, by the view of one node, and why. Times are in ms.
type Whereabouts struct {
	Node      string  `json:"node"`
	ViewAgeMs float64 `json:"view_age_ms"`
	Ready     bool    `json:"ready"`
	// Outcome is one of the constants above; Reason is set if the request would be refused.
	Outcome      string  `json:"outcome"`
	Reason       string  `json:"reason,omitempty"`
	RetryAfterMs float64 `json:"retry_after_ms,omitempty"`
	Route        string  `json:"route,omitempty"`
	Priority     int     `json:"priority"`
	// Service is the one with the largest weight of the route.
	Service string `json:"service,omitempty"`
	// Upstream and Helpers are those that the request would be placed on.
	Upstream             string   `json:"upstream,omitempty"`
	Helpers              []string `json:"helpers,omitempty"`
	ExpectedFirstEventMs float64  `json:"expected_first_event_ms,omitempty"`
	// Claims are the engines that it would claim while it waits; WaitingBefore counts this node's requests that
	// wait before it.
	Claims         []string `json:"claims,omitempty"`
	WaitingBefore  int      `json:"waiting_before"`
	ExpectedWaitMs float64  `json:"expected_wait_ms,omitempty"`
	// WaitingOnTime and WaitingLate count what waits for the service at all nodes.
	WaitingOnTime int               `json:"waiting_on_time"`
	WaitingLate   int               `json:"waiting_late"`
	Upstreams     []UpstreamSummary `json:"upstreams"`
}

// UpstreamSummary is what the node knows of one upstream of the service.
type UpstreamSummary struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Exclusion says why it may not take the request; empty is that it may.
	Exclusion        string  `json:"exclusion,omitempty"`
	Running          int     `json:"running"`
	Slots            int     `json:"slots"`
	FreeMemoryTokens int     `json:"free_memory_tokens"`
	PrefillBacklogMs float64 `json:"prefill_backlog_ms"`
	SpeedFactor      float64 `json:"speed_factor"`
	FailureShare     float64 `json:"failure_share"`
}

// describedRequest is a request that is described, not sent.
type describedRequest struct {
	host, path, organisation   string
	promptTokens, answerTokens int
	timeout                    time.Duration
}

func parseDescribed(r *http.Request) (describedRequest, error) {
	query := r.URL.Query()
	number := func(name string) (int, error) {
		text := query.Get(name)
		if text == "" {
			return 0, nil
		}
		value, err := strconv.ParseUint(text, 10, 31)
		return int(value), err
	}
	described := describedRequest{host: strings.ToLower(query.Get(ParamHost)), path: query.Get(ParamPath), organisation: query.Get(ParamOrganisation)}
	var timeoutMs int
	for _, field := range []struct {
		name  string
		value *int
	}{{ParamPromptTokens, &described.promptTokens}, {ParamAnswerTokens, &described.answerTokens}, {ParamTimeoutMs, &timeoutMs}} {
		value, err := number(field.name)
		if err != nil {
			return describedRequest{}, err
		}
		*field.value = value
	}
	described.timeout = time.Duration(timeoutMs) * time.Millisecond
	return described, nil
}

// serveWhere answers where a described request would go now. Nothing is sent to an upstream.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	described, err := parseDescribed(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(n.where(described)); err != nil {
		n.logger.Debug().Err(err).Msg("can't write whereabouts")
	}
}

func (n *Node) where(described describedRequest) Whereabouts {
	snapshot := n.follower.Current()
	found := Whereabouts{
		Node: n.settings.Name, Ready: n.ready(), ViewAgeMs: inMs(bootClock() - snapshot.FreshAt), Outcome: WhereNoRoute, Upstreams: []UpstreamSummary{},
	}
	if snapshot.Configuration == nil {
		return found
	}
	route := snapshot.Configuration.Route(described.host, described.path)
	if route == nil {
		return found
	}
	found.Route, found.Priority, found.Service = route.Name, priorityOf(snapshot, route, described.organisation), mainService(route)
	var preview placement.Preview
	n.gate.Do(func(s *placement.Scheduler, now time.Duration) {
		preview = s.Preview(now, described.placementRequest(now, route, &found))
	})
	found.add(&preview)
	if n.handover.CutOff(found.Service) {
		found.Outcome = WhereHandedOver
	}
	return found
}

// previewID can't be the key of a request: those begin with letters or digits.
const previewID = "-"

// placementRequest returns what the scheduler is asked.
func (d *describedRequest) placementRequest(now time.Duration, route *fleet.Route, found *Whereabouts) *placement.Request {
	timeout := route.Timeout
	if d.timeout > 0 && (timeout == 0 || d.timeout < timeout) {
		timeout = d.timeout
	}
	if timeout == 0 {
		timeout = time.Minute
	}
	request := &placement.Request{
		ID: previewID, Service: found.Service, Kind: route.Kind, PromptTokens: d.promptTokens, AnswerTokens: d.answerTokens, Priority: found.Priority,
		Arrived: now, AnswerDue: now + route.LatencyTarget, Deadline: now + timeout, Regions: route.Regions,
	}
	if route.CallerTimeout > 0 {
		request.CallerTimeoutAt = now + route.CallerTimeout
	}
	return request
}

func (w *Whereabouts) add(preview *placement.Preview) {
	decision := &preview.Decision
	w.WaitingBefore, w.Claims, w.Outcome = preview.WaitingBefore, preview.Claims, WhereWaits
	w.ExpectedWaitMs, w.WaitingOnTime, w.WaitingLate = inMs(preview.ExpectedWait), preview.Pressure.OnTime, preview.Pressure.Late
	switch {
	case decision.Reason != "":
		w.Outcome, w.Reason, w.RetryAfterMs = WhereRefused, string(decision.Reason), inMs(decision.RetryAfter)
	case decision.Lead != nil:
		w.Outcome, w.Upstream, w.ExpectedFirstEventMs = WherePlaced, decision.Lead.ID, inMs(decision.ExpectedFirstEvent)
		for _, helper := range decision.Helpers {
			w.Helpers = append(w.Helpers, helper.ID)
		}
	}
	for _, u := range preview.Upstreams {
		w.Upstreams = append(w.Upstreams, UpstreamSummary{
			ID: u.ID, Zone: u.Zone, Exclusion: string(u.Exclusion), Running: u.Running, Slots: u.Slots, FreeMemoryTokens: u.FreeMemoryTokens,
			PrefillBacklogMs: u.PrefillBacklogMs, SpeedFactor: u.SpeedFactor, FailureShare: u.FailureShare,
		})
	}
}

// mainService returns the service that gets most of a route's requests.
func mainService(route *fleet.Route) string {
	name, weight := "", 0.0
	for _, target := range route.Targets {
		if name == "" || target.Weight > weight {
			name, weight = target.Service, target.Weight
		}
	}
	return name
}

// priorityOf returns the priority of an organisation's requests on a route.
func priorityOf(snapshot *follow.Snapshot, route *fleet.Route, organisation string) int {
	for _, known := range snapshot.Configuration.OrganisationsByKey {
		if known.Name == organisation && known.Priority != nil {
			return *known.Priority
		}
	}
	return route.Priority
}

func inMs(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
