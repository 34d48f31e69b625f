// Package estimation predicts, from finished requests, a prompt's length in
// tokens, its time to first token and the decode time of its answer.
package estimation

import "time"

const (
	// minSamples is the number of samples needed before an estimate is used.
	minSamples = 5
	// smoothingFactor is the weight of a new sample in an exponential moving average.
	smoothingFactor = 0.05
	// maxCorrection is the upper bound of the factor that corrects a prompt's
	// length; its inverse is the lower bound.
	maxCorrection = 4.0
	// sampleLifetime is how long an estimate is used after its last sample. Without
	// a limit, an estimate that rejects every request would never be corrected.
	sampleLifetime = 30 * time.Second
)

// Sample holds the measurements of one finished request.
type Sample struct {
	At              time.Time
	Model, Upstream string
	// EstimatedPrompt is the prompt's length in tokens as estimated from its bytes.
	// PromptTokens and AnswerTokens are reported by the engine, or 0.
	EstimatedPrompt, PromptTokens, AnswerTokens int
	// CachedTokens is how many of PromptTokens came from the engine's prefix cache
	// and needed no prefill.
	CachedTokens int
	// MayBeCached means that the engine may have had the start of the prompt in
	// its cache; an engine that reports its own counts states it in CachedTokens.
	MayBeCached bool
	// MaxTokens is the request's limit on the answer, in tokens.
	MaxTokens int
	// FirstToken is the time from dispatch to the first token, or 0 if unknown.
	FirstToken time.Duration
	// Decode is the time from the first token to the end of the answer.
	Decode time.Duration
}

// Estimate is a prediction for one request.
type Estimate struct {
	// Known is false while there are too few samples to reject a request by the
	// estimate.
	Known bool
	// FirstToken is the time to the first token; Total is the time to the end of the
	// answer.
	FirstToken, Total time.Duration
}

// Estimator keeps moving averages for each model and for each model at each
// upstream.
type Estimator struct {
	byModel         map[string]*profile
	byModelUpstream map[modelUpstream]*profile
}

type modelUpstream struct{ model, upstream string }

// profile holds the averages of one model, or of one model at one upstream.
type profile struct {
	// lengthCorrection is the factor from estimated to reported prompt tokens.
	lengthCorrection float64
	// prefill fits the time to first token, in seconds, to the tokens prefilled.
	prefill         linearFit
	secondsPerToken float64
	decodeSamples   int
	// usedShare is the part of MaxTokens that answers use.
	usedShare float64
	// relativeError is the average relative error of the predicted first-token time.
	relativeError float64
	// lastSample is the time of the last sample.
	lastSample time.Time
	// lastReported is the time of the last sample with counts reported by the engine.
	lastReported time.Time
}

// New returns an estimator without samples.
func New() *Estimator {
	return &Estimator{byModel: map[string]*profile{}, byModelUpstream: map[modelUpstream]*profile{}}
}

// Observe adds the sample of a finished request.
func (e *Estimator) Observe(sample Sample) {
	model := findOrAdd(e.byModel, sample.Model)
	upstream := findOrAdd(e.byModelUpstream, modelUpstream{sample.Model, sample.Upstream})
	model.observe(sample)
	upstream.observe(sample)
}

// Retain removes the averages of upstreams for which kept returns false.
func (e *Estimator) Retain(kept func(upstream string) bool) {
	for key := range e.byModelUpstream {
		if !kept(key.upstream) {
			delete(e.byModelUpstream, key)
		}
	}
}

// PromptTokens corrects a prompt length, in tokens, that was estimated from bytes.
func (e *Estimator) PromptTokens(model string, estimated int) int {
	averages := e.byModel[model]
	if averages == nil {
		return estimated
	}
	return int(float64(estimated) * averages.lengthCorrection)
}

// Estimate predicts the times of a request on an upstream, or on any upstream of
// the model if upstream is empty. It falls back to the model's averages while the
// upstream's samples are too few, too old or of too short prompts.
func (e *Estimator) Estimate(now time.Time, model, upstream string, promptTokens, maxTokens int) Estimate {
	averages := e.byModelUpstream[modelUpstream{model, upstream}]
	if !averages.known(now, promptTokens) {
		averages = e.byModel[model]
	}
	if !averages.known(now, promptTokens) {
		return Estimate{}
	}
	first := averages.prefill.predict(float64(promptTokens))
	decode := float64(maxTokens) * averages.usedShare * averages.secondsPerToken
	return Estimate{
		Known:      true,
		FirstToken: seconds(first),
		Total:      seconds(first + decode),
	}
}

// RelativeError returns the moving average of the relative error of a model's
// predicted first-token time.
func (e *Estimator) RelativeError(model string) float64 {
	if averages := e.byModel[model]; averages != nil {
		return averages.relativeError
	}
	return 0
}

// RelativeErrors returns RelativeError of each model that has samples.
func (e *Estimator) RelativeErrors() map[string]float64 {
	errors := map[string]float64{}
	for model, averages := range e.byModel {
		if averages.prefill.samples > 0 {
			errors[model] = averages.relativeError
		}
	}
	return errors
}

func (p *profile) known(now time.Time, promptTokens int) bool {
	if p == nil || p.prefill.samples < minSamples {
		return false
	}
	return now.Sub(p.lastSample) < sampleLifetime && p.prefill.covers(float64(promptTokens))
}

func (p *profile) observe(sample Sample) {
	p.lastSample = sample.At
	if sample.PromptTokens > 0 && sample.EstimatedPrompt > 0 {
		factor := float64(sample.PromptTokens) / float64(sample.EstimatedPrompt)
		p.lengthCorrection += smoothingFactor * (min(max(factor, 1/maxCorrection), maxCorrection) - p.lengthCorrection)
	}
	p.observePrefill(sample)
	p.observeDecode(sample)
}

// observePrefill ignores a sample that may be fast because of a cache hit but
// reports no counts, while recent samples of the model do report them.
func (p *profile) observePrefill(sample Sample) {
	if sample.FirstToken <= 0 {
		return
	}
	if sample.PromptTokens > 0 {
		p.lastReported = sample.At
	} else if sample.MayBeCached && sample.At.Sub(p.lastReported) < sampleLifetime {
		return
	}
	length := float64(sample.PromptTokens)
	if length == 0 {
		length = float64(sample.EstimatedPrompt) * p.lengthCorrection
	}
	length = max(0, length-float64(sample.CachedTokens))
	actual := sample.FirstToken.Seconds()
	if p.prefill.samples >= minSamples {
		deviation := p.prefill.predict(length)/actual - 1
		p.relativeError += smoothingFactor * (max(deviation, -deviation) - p.relativeError)
	}
	p.prefill.add(length, actual)
}

func (p *profile) observeDecode(sample Sample) {
	if sample.AnswerTokens < 2 || sample.Decode <= 0 {
		return
	}
	weight := max(smoothingFactor, 1/float64(p.decodeSamples+1))
	p.decodeSamples++
	interval := sample.Decode.Seconds() / float64(sample.AnswerTokens-1)
	p.secondsPerToken += weight * (interval - p.secondsPerToken)
	if sample.MaxTokens > 0 {
		share := min(1, float64(sample.AnswerTokens)/float64(sample.MaxTokens))
		p.usedShare += weight * (share - p.usedShare)
	}
}

func findOrAdd[K comparable](profiles map[K]*profile, key K) *profile {
	if profiles[key] == nil {
		profiles[key] = &profile{lengthCorrection: 1}
	}
	return profiles[key]
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
