package cli

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/edge"
	"github.com/wigeontiller/wigeontiller/texttable"
)

// defaultMetricsURL is that of a node on this machine with the port of deploy/edge.yaml.
const defaultMetricsURL = "http://127.0.0.1:9102"

// whereQuery describes a request that is not sent.
type whereQuery struct {
	url, host, path, organisation       string
	promptTokens, answerTokens, timeout int
}

func addWhere(parser *flaggy.Parser) []*command {
	sub := newSubcommand("where", "Tell where a request would go now, by one edge node's view, and why. Nothing is sent to an upstream.")
	query := whereQuery{url: defaultMetricsURL}
	sub.AddPositionalValue(&query.host, "host", 1, true, "The request's host.")
	sub.AddPositionalValue(&query.path, "path", 2, true, "The request's path.")
	sub.String(&query.url, "u", "url", "The metrics URL of the node.")
	sub.String(&query.organisation, "g", "organisation", "The organisation that sends the request.")
	sub.Int(&query.promptTokens, "p", "prompt-tokens", "Tokens of the prompt; 0 for a plain service.")
	sub.Int(&query.answerTokens, "a", "answer-tokens", "The most tokens of the answer.")
	sub.Int(&query.timeout, "t", "timeout-ms", "How long the caller waits; 0 is as long as the route allows.")
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error { return tellWhere(env, &query) }}}
}

func tellWhere(env *environment, query *whereQuery) error {
	values := url.Values{
		edge.ParamHost: {query.host}, edge.ParamPath: {query.path}, edge.ParamOrganisation: {query.organisation},
		edge.ParamPromptTokens: {strconv.Itoa(query.promptTokens)}, edge.ParamAnswerTokens: {strconv.Itoa(query.answerTokens)},
		edge.ParamTimeoutMs: {strconv.Itoa(query.timeout)},
	}
	status, body, err := fasthttp.GetTimeout(nil, query.url+edge.PathWhere+"?"+values.Encode(), operatorTimeout)
	if err != nil {
		return eris.Wrap(err, "call "+query.url)
	}
	if status != fasthttp.StatusOK {
		return eris.Wrap(ErrRefused, fmt.Sprintf("status %d: %s", status, strings.TrimSpace(string(body))))
	}
	var found edge.Whereabouts
	if err := json.Unmarshal(body, &found); err != nil {
		return eris.Wrap(err, "the answer of "+query.url)
	}
	return env.print(found, whereText(&found))
}

func whereText(found *edge.Whereabouts) string {
	var text strings.Builder
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(&text, format+"\n", values...) }
	line("node %s: ready %t, view %.0f ms old", found.Node, found.Ready, found.ViewAgeMs)
	switch found.Outcome {
	case edge.WhereNoRoute:
		line("no route for this host and path")
		return text.String()
	case edge.WherePlaced:
		line("placed on %s, first event in %.0f ms; helpers: %s", found.Upstream, found.ExpectedFirstEventMs, orNone(found.Helpers))
	case edge.WhereWaits:
		line("waits some %.0f ms behind %d requests of this node; at all nodes %d wait on time, %d late; claims: %s",
			found.ExpectedWaitMs, found.WaitingBefore, found.WaitingOnTime, found.WaitingLate, orNone(found.Claims))
	case edge.WhereRefused:
		line("refused: %s; come back in %.0f ms", found.Reason, found.RetryAfterMs)
	case edge.WhereHandedOver:
		line("handed over to another node: this one reaches no upstream of the service")
	}
	line("route %s, service %s, priority %d", found.Route, found.Service, found.Priority)
	texttable.Write(&text, func(row func(columns ...any)) {
		row("upstream", "zone", "not usable because", "running", "slots", "free tokens", "backlog ms", "speed factor", "failures")
		for _, u := range found.Upstreams {
			row(u.ID, u.Zone, u.Exclusion, u.Running, u.Slots, u.FreeMemoryTokens, fmt.Sprintf("%.0f", u.PrefillBacklogMs),
				fmt.Sprintf("%.1f", u.SpeedFactor), fmt.Sprintf("%.2f", u.FailureShare))
		}
	})
	return text.String()
}

func orNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}
