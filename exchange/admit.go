package exchange

import (
	"time"

	"github.com/wigeontiller/wigeontiller/fleet"
	"github.com/wigeontiller/wigeontiller/telemetry"
)

// Codes of requests that are not admitted. None of these requests was executed.
const (
	NoRoute      Code = "no_route"
	NoKey        Code = "no_key"
	BodyTooLarge Code = "body_too_large"
	BadRequest   Code = "bad_request"
)

// ReasonNoID is the reason of BadRequest for a request without an ID.
const ReasonNoID = "no_id"

// Admission is the configuration, route and organisation that apply to a request.
type Admission struct {
	Configuration *fleet.Configuration
	Route         *fleet.Route
	Organisation  *fleet.Organisation
}

// Admit finds the route and the organisation of a request. If the view may be out
// of date, an unknown route or key gives Unavailable, which asks the caller to
// retry, instead of a denial.
func (e *Exchange) Admit(host, path, key string) (Admission, *Failure) {
	snapshot := e.config.Follower.Current()
	if !snapshot.Synced {
		return Admission{}, &Failure{Code: Unavailable, Reason: ReasonNoView, RetryAfter: e.config.RetryAfter}
	}
	age := e.config.Now() - snapshot.FreshAt
	route := snapshot.Configuration.Route(host, path)
	if route == nil {
		return Admission{}, e.deny(NoRoute, age)
	}
	if route.Kind == fleet.Stream && e.streamsClosed.Load() {
		return Admission{}, &Failure{Code: Unavailable, Reason: ReasonNodeShutdown, RetryAfter: e.config.RetryAfter}
	}
	admitted := Admission{Configuration: snapshot.Configuration, Route: route}
	if !snapshot.Configuration.KeysRequired || route.Anonymous {
		return admitted, nil
	}
	admitted.Organisation = snapshot.Configuration.OrganisationsByKey[key]
	if admitted.Organisation == nil {
		return Admission{}, e.deny(NoKey, age)
	}
	if age > e.config.Freshness.MaxSendAge {
		return Admission{}, &Failure{Code: Unavailable, Reason: ReasonViewTooOld, RetryAfter: e.config.RetryAfter}
	}
	return admitted, nil
}

// CheckID returns the failure of an admitted request without an ID, or nil. Upstreams refuse such a request, and
// nothing would tell its response from another's on the same connection, so that it is not sent.
func CheckID(id string) *Failure {
	if id != "" {
		return nil
	}
	return &Failure{Code: BadRequest, Reason: ReasonNoID}
}

func (e *Exchange) deny(code Code, age time.Duration) *Failure {
	if age > e.config.Freshness.MaxDenyAge {
		return &Failure{Code: Unavailable, Reason: string(code) + UnsureSuffix, RetryAfter: e.config.RetryAfter}
	}
	return &Failure{Code: code}
}

// RecordRejection logs and counts a request that was not admitted.
func (e *Exchange) RecordRejection(id, host, path string, failure *Failure) {
	e.config.Metrics.Refusal(string(failure.Code))
	e.config.Logger.Info().Str("request_id", id).Str("host", host).Str("path", path).
		Str("outcome", string(failure.Code)).Str("reason", failure.Reason).
		Dur("beliefs_age_ms", e.config.Now()-e.config.Follower.Current().FreshAt).Msg(telemetry.LogNotAdmitted)
}
