package estimation

// sampleDecay is the factor applied to the weight of older samples at each new one.
const sampleDecay = 0.98

const (
	// longestDecay is the factor applied to longestX at each new sample.
	longestDecay = 0.999
	// maxExtrapolation is how far beyond longestX the fit is used, as a factor: a
	// slope from short prompts says little about long ones.
	maxExtrapolation = 4
)

// covers reports whether x is within the range that the samples allow to predict.
func (l *linearFit) covers(x float64) bool {
	return x <= maxExtrapolation*l.longestX
}

// linearFit fits y = base + slope * x to recent samples by least squares.
type linearFit struct {
	sumWeight, sumX, sumY, sumXX, sumXY float64
	samples                             int
	// longestX is the largest recent x; it decays slowly.
	longestX float64
}

func (l *linearFit) add(x, y float64) {
	l.sumWeight = l.sumWeight*sampleDecay + 1
	l.sumX = l.sumX*sampleDecay + x
	l.sumY = l.sumY*sampleDecay + y
	l.sumXX = l.sumXX*sampleDecay + x*x
	l.sumXY = l.sumXY*sampleDecay + x*y
	l.samples++
	l.longestX = max(x, l.longestX*longestDecay)
}

// predict returns y at x. Neither the base nor the slope is ever negative.
func (l *linearFit) predict(x float64) float64 {
	if l.sumWeight == 0 {
		return 0
	}
	meanX, meanY := l.sumX/l.sumWeight, l.sumY/l.sumWeight
	variance := l.sumXX/l.sumWeight - meanX*meanX
	if variance <= 1e-9*meanX*meanX {
		return meanY * max(1, ratio(x, meanX))
	}
	slope := max(0, (l.sumXY/l.sumWeight-meanX*meanY)/variance)
	base := meanY - slope*meanX
	if base < 0 {
		return x * ratio(l.sumXY, l.sumXX)
	}
	return base + slope*x
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
