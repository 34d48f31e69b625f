// Package estimation learns from finished requests how many tokens a prompt
// has, how long its first token takes and how fast an answer follows.
package estimation

import "time"

const (
	// knownSamples is the number of samples from which an estimate is trusted.
	knownSamples = 5
	// gain is the weight of a new sample in a moving average.
	gain = 0.05
	// maxCorrection bounds the learned factor on a prompt's length.
	maxCorrection = 4.0
	// lifetime is how long a sample keeps an estimate trusted. Without it, an
	// estimate that refuses everything would never be corrected.
	lifetime = 30 * time.Second
)

// Sample is what one finished request shows.
type Sample struct {
	At              time.Time
	Model, Upstream string
	// EstimatedPrompt is the length guessed from bytes; PromptTokens and
	// AnswerTokens are the engine's own figures, or 0.
	EstimatedPrompt, PromptTokens, AnswerTokens int
	// CachedTokens is how many of PromptTokens the engine did not have to read.
	CachedTokens int
	// MayBeCached says that an engine may have had the prompt's start in its
	// cache, as it would say in its own figures.
	MayBeCached bool
	// MaxTokens bounded the answer.
	MaxTokens int
	// FirstToken is the time from dispatch to the first token, or 0.
	FirstToken time.Duration
	// Decode is the time from the first token to the end.
	Decode time.Duration
}

// Estimate is a prediction for one request.
type Estimate struct {
	// Known is false while too little was seen to refuse a request by it.
	Known bool
	// FirstToken is the time to the first token; Total is that of the whole answer.
	FirstToken, Total time.Duration
}

// Estimator holds what was learned of each model and upstream.
type Estimator struct {
	models map[string]*curve
	pairs  map[pair]*curve
}

type pair struct{ model, upstream string }

type curve struct {
	correction float64
	prefill    line
	interval   float64
	answers    int
	used       float64
	failure    float64
	at         time.Time
	// reported is when a sample last had the engine's own figures.
	reported time.Time
}

// New returns an estimator that knows nothing.
func New() *Estimator {
	return &Estimator{models: map[string]*curve{}, pairs: map[pair]*curve{}}
}

// Observe takes in a finished request.
func (e *Estimator) Observe(sample Sample) {
	model := find(e.models, sample.Model)
	one := find(e.pairs, pair{sample.Model, sample.Upstream})
	model.learn(sample)
	one.learn(sample)
}

// Retain drops what was learned of upstreams that are gone.
func (e *Estimator) Retain(kept func(upstream string) bool) {
	for key := range e.pairs {
		if !kept(key.upstream) {
			delete(e.pairs, key)
		}
	}
}

// PromptTokens corrects a length guessed from bytes.
func (e *Estimator) PromptTokens(model string, guessed int) int {
	learned := e.models[model]
	if learned == nil {
		return guessed
	}
	return int(float64(guessed) * learned.correction)
}

// Estimate predicts a request on an upstream; an empty upstream is any of the model's.
func (e *Estimator) Estimate(now time.Time, model, upstream string, promptTokens, maxTokens int) Estimate {
	learned := e.pairs[pair{model, upstream}]
	if !learned.known(now, promptTokens) {
		learned = e.models[model]
	}
	if !learned.known(now, promptTokens) {
		return Estimate{}
	}
	first := learned.prefill.at(float64(promptTokens))
	decode := float64(maxTokens) * learned.used * learned.interval
	return Estimate{
		Known:      true,
		FirstToken: seconds(first),
		Total:      seconds(first + decode),
	}
}

// Error is the moving average of a model's relative first-token error.
func (e *Estimator) Error(model string) float64 {
	if learned := e.models[model]; learned != nil {
		return learned.failure
	}
	return 0
}

// RelativeErrors is Error of each model that has samples.
func (e *Estimator) RelativeErrors() map[string]float64 {
	errors := map[string]float64{}
	for model, learned := range e.models {
		if learned.prefill.samples > 0 {
			errors[model] = learned.failure
		}
	}
	return errors
}

func (c *curve) known(now time.Time, promptTokens int) bool {
	if c == nil || c.prefill.samples < knownSamples {
		return false
	}
	return now.Sub(c.at) < lifetime && c.prefill.covers(float64(promptTokens))
}

func (c *curve) learn(sample Sample) {
	c.at = sample.At
	if sample.PromptTokens > 0 && sample.EstimatedPrompt > 0 {
		factor := float64(sample.PromptTokens) / float64(sample.EstimatedPrompt)
		c.correction += gain * (min(max(factor, 1/maxCorrection), maxCorrection) - c.correction)
	}
	c.learnPrefill(sample)
	c.learnDecode(sample)
}

// learnPrefill leaves out a sample that may be fast because of a cache and does
// not say so, while other samples do say.
func (c *curve) learnPrefill(sample Sample) {
	if sample.FirstToken <= 0 {
		return
	}
	if sample.PromptTokens > 0 {
		c.reported = sample.At
	} else if sample.MayBeCached && sample.At.Sub(c.reported) < lifetime {
		return
	}
	length := float64(sample.PromptTokens)
	if length == 0 {
		length = float64(sample.EstimatedPrompt) * c.correction
	}
	length = max(0, length-float64(sample.CachedTokens))
	actual := sample.FirstToken.Seconds()
	if c.prefill.samples >= knownSamples {
		wrong := c.prefill.at(length)/actual - 1
		c.failure += gain * (max(wrong, -wrong) - c.failure)
	}
	c.prefill.add(length, actual)
}

func (c *curve) learnDecode(sample Sample) {
	if sample.AnswerTokens < 2 || sample.Decode <= 0 {
		return
	}
	weight := max(gain, 1/float64(c.answers+1))
	c.answers++
	interval := sample.Decode.Seconds() / float64(sample.AnswerTokens-1)
	c.interval += weight * (interval - c.interval)
	if sample.MaxTokens > 0 {
		share := min(1, float64(sample.AnswerTokens)/float64(sample.MaxTokens))
		c.used += weight * (share - c.used)
	}
}

func find[K comparable](curves map[K]*curve, key K) *curve {
	if curves[key] == nil {
		curves[key] = &curve{correction: 1}
	}
	return curves[key]
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
