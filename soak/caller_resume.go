package soak

import (
	"context"
	"net/http"
	"net/url"
)

const (
	headerResumeToken = "X-Wigeontiller-Resume-Token"
	headerLastEvent   = "Last-Event-ID"
)

// mayResume reports whether the caller can go on with a stream that was cut.
func (s *Send) mayResume() bool {
	return s.Arrival.Kind == Stream && s.Ending == Cut && s.resume.token != "" && s.End-s.Start < s.Allowed
}

// goOn asks a process for the rest of a stream that was cut. The deadline stays
// what it was.
func goOn(clock *clock, cut *Send, to *process) *Send {
	sent := &Send{
		Arrival: cut.Arrival, ID: cut.ID, Node: to.life.Name, Resumed: true,
		Start: clock.now(), Allowed: cut.Start + cut.Allowed - clock.now(),
		Tokens: cut.Tokens, resume: cut.resume,
	}
	ctx, cancel := context.WithTimeout(context.Background(), sent.Allowed+callHang)
	defer cancel()
	reader := &answerReader{sent: sent, clock: clock, leave: func() {}}
	err := reader.goOn(ctx, "http://"+to.settings.CallerAddress)
	sent.ended(clock.now(), err, false)
	return sent
}

func (r *answerReader) goOn(ctx context.Context, base string) error {
	kept := r.sent.resume
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/requests/"+url.PathEscape(kept.requestID)+"/stream", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+callerKey)
	request.Header.Set(headerResumeToken, kept.token)
	if kept.lastEvent != "" {
		request.Header.Set(headerLastEvent, kept.lastEvent)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return r.read(response)
}
