package placement

import "time"

// lengths is the recent distribution of decode times, each as a part of the longest that the
// request's limit of output tokens allows.
type lengths struct {
	bins  [lengthBins]float64
	total float64
}

const (
	lengthBins = 20
	// lengthMemory is the number of requests that the distribution remembers, about.
	lengthMemory = 500
	// lengthPrior is the weight of the assumption that requests use their whole limit.
	lengthPrior = 20
	// releaseQuantile is the part of requests that end before their predicted release. A prompt
	// that is computed for a slot which is not freed in time is wasted, so it is high.
	releaseQuantile = 0.95
)

func newLengths() lengths {
	var l lengths
	l.bins[lengthBins-1] = lengthPrior
	l.total = lengthPrior
	return l
}

// learn adds one finished request.
func (l *lengths) learn(part float64) {
	const keep = 1 - 1.0/lengthMemory
	for i := range l.bins {
		l.bins[i] *= keep
	}
	l.total = l.total*keep + 1
	l.bins[bin(part)]++
}

func bin(part float64) int {
	return min(lengthBins-1, max(0, int(part*lengthBins)))
}

// predict gives the part of its longest time that a request takes, at releaseQuantile, given
// that it has taken more than elapsed already.
func (l *lengths) predict(elapsed float64) float64 {
	from := bin(elapsed)
	left := 0.0
	for _, n := range l.bins[from:] {
		left += n
	}
	if left <= 0 {
		return 1
	}
	sum := 0.0
	for i := from; i < lengthBins; i++ {
		sum += l.bins[i]
		if sum >= releaseQuantile*left {
			return float64(i+1) / lengthBins
		}
	}
	return 1
}

// mean gives the average part.
func (l *lengths) mean() float64 {
	sum := 0.0
	for i, n := range l.bins {
		sum += n * (float64(i) + 0.5) / lengthBins
	}
	return sum / l.total
}

// overhead is what the predicted start of a decode leaves out: messages, orders and the
// engines' own steps. It leans towards the larger values seen.
type overhead struct{ value time.Duration }

const (
	maxOverhead                      = 150 * time.Millisecond
	overheadStepUp, overheadStepDown = 0.1, 0.02
)

// learn takes the time by which a decode started later than predicted.
func (o *overhead) learn(late time.Duration) {
	late = clamp(late, 0, maxOverhead)
	step := overheadStepDown
	if late > o.value {
		step = overheadStepUp
	}
	o.value += scale(late-o.value, step)
}
