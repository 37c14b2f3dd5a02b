package placement

import "time"

// durationHistogram is the recent distribution of decode times, as fractions of the maximum
// time that the request's output token limit allows.
type durationHistogram struct {
	bins  [histogramBins]float64
	total float64
}

const (
	histogramBins = 20
	// histogramMemory is the approximate number of recent requests that the distribution
	// reflects.
	histogramMemory = 500
	// histogramPrior is the weight of the initial assumption that requests use their whole
	// limit.
	histogramPrior = 20
	// releaseQuantile is the fraction of requests that end before their predicted release. It
	// is high because a prefill is wasted if the slot it was computed for is not released in
	// time.
	releaseQuantile = 0.95
)

func newDurationHistogram() durationHistogram {
	var h durationHistogram
	h.bins[histogramBins-1] = histogramPrior
	h.total = histogramPrior
	return h
}

// observe adds one finished request.
func (h *durationHistogram) observe(fraction float64) {
	const decay = 1 - 1.0/histogramMemory
	for i := range h.bins {
		h.bins[i] *= decay
	}
	h.total = h.total*decay + 1
	h.bins[binOf(fraction)]++
}

func binOf(fraction float64) int {
	return min(histogramBins-1, max(0, int(fraction*histogramBins)))
}

// predict returns the releaseQuantile of the fraction of its maximum time that a request takes,
// given that it has already taken more than elapsed.
func (h *durationHistogram) predict(elapsed float64) float64 {
	from := binOf(elapsed)
	remaining := 0.0
	for _, n := range h.bins[from:] {
		remaining += n
	}
	if remaining <= 0 {
		return 1
	}
	sum := 0.0
	for i := from; i < histogramBins; i++ {
		sum += h.bins[i]
		if sum >= releaseQuantile*remaining {
			return float64(i+1) / histogramBins
		}
	}
	return 1
}

// mean returns the average fraction.
func (h *durationHistogram) mean() float64 {
	sum := 0.0
	for i, n := range h.bins {
		sum += n * (float64(i) + 0.5) / histogramBins
	}
	return sum / h.total
}

// overhead estimates the delay that the predicted start of a decode does not include: messages,
// orders and the engines' own processing steps. It rises faster than it falls.
type overhead struct{ value time.Duration }

const (
	maxOverhead                      = 150 * time.Millisecond
	overheadStepUp, overheadStepDown = 0.1, 0.02
)

// observe adds the time by which a decode started later than predicted.
func (o *overhead) observe(late time.Duration) {
	late = clamp(late, 0, maxOverhead)
	step := overheadStepDown
	if late > o.value {
		step = overheadStepUp
	}
	o.value += scaleDuration(late-o.value, step)
}
