package estimation

// forget is the weight that older samples keep at each new one.
const forget = 0.98

const (
	// fade is what the longest sample keeps at each new one.
	fade = 0.999
	// reach is how far past the longest sample the line is trusted: a slope
	// from short prompts says little of long ones.
	reach = 4
)

// covers reports whether samples tell of x.
func (l *line) covers(x float64) bool {
	return x <= reach*l.longest
}

// line fits y = base + slope * x to recent samples by least squares.
type line struct {
	weight, x, y, xx, xy float64
	samples              int
	// longest is the greatest x of late; it fades slowly.
	longest float64
}

func (l *line) add(x, y float64) {
	l.weight = l.weight*forget + 1
	l.x = l.x*forget + x
	l.y = l.y*forget + y
	l.xx = l.xx*forget + x*x
	l.xy = l.xy*forget + x*y
	l.samples++
	l.longest = max(x, l.longest*fade)
}

// at predicts y. Neither the base nor the slope is ever negative.
func (l *line) at(x float64) float64 {
	if l.weight == 0 {
		return 0
	}
	meanX, meanY := l.x/l.weight, l.y/l.weight
	spread := l.xx/l.weight - meanX*meanX
	if spread <= 1e-9*meanX*meanX {
		return meanY * max(1, ratio(x, meanX))
	}
	slope := max(0, (l.xy/l.weight-meanX*meanY)/spread)
	base := meanY - slope*meanX
	if base < 0 {
		return x * ratio(l.xy, l.xx)
	}
	return base + slope*x
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
