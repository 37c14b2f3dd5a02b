// Package bodybuffer holds the bodies of requests and responses in memory, within one budget of the process. A body takes
// from the budget as it grows.
package bodybuffer

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Budget bounds the memory of all bodies. It is safe for concurrent use.
type Budget struct {
	limit   int64
	used    atomic.Int64
	refused *metrics.Counter
	// whole is the budget of which this one is a part, nil if it is none.
	whole *Budget
}

// NewBudget returns a budget of limit bytes and adds its metrics to set.
func NewBudget(limit int64, set *metrics.Set) *Budget {
	b := &Budget{limit: limit, refused: set.NewCounter("fulmartide_buffer_refusals_total")}
	set.NewGauge("fulmartide_buffered_bytes", func() float64 { return float64(b.used.Load()) })
	return b
}

// Part returns a budget of limit bytes that are taken from b as well.
func (b *Budget) Part(limit int64, set *metrics.Set, name string) *Budget {
	p := &Budget{limit: limit, whole: b, refused: set.GetOrCreateCounter(`fulmartide_` + name + `_refusals_total`)}
	set.GetOrCreateGauge(`fulmartide_`+name+`_bytes`, func() float64 { return float64(p.used.Load()) })
	return p
}

// Limit returns the number of bytes that the budget has in all.
func (b *Budget) Limit() int64 { return b.limit }

// Take takes n bytes and reports whether the budget had them.
func (b *Budget) Take(n int) bool { return b.reserve(int64(n)) }

// Return returns n bytes.
func (b *Budget) Return(n int) { b.release(int64(n)) }

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// reserve takes n bytes and reports whether the budget had them.
func (b *Budget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit && (b.whole == nil || b.whole.reserve(n)) {
		return true
	}
	b.used.Add(-n)
	b.refused.Inc()
	return false
}

func (b *Budget) release(n int64) {
	b.used.Add(-n)
	if b.whole != nil {
		b.whole.release(n)
	}
}

// Errors of Body.Read.
var (
	// ErrBudgetUsedUp means that the budget has no room for the next piece of a body.
	ErrBudgetUsedUp = errors.New("the memory for request and response bodies is used up")
	// ErrTooLong means that a body is longer than the buffer may become.
	ErrTooLong = errors.New("the body is longer than may be buffered")
)

// Body is a buffered body. It is not safe for concurrent use.
type Body struct {
	budget *Budget
	data   []byte
}

// NewBody returns an empty body.
func (b *Budget) NewBody() *Body { return &Body{budget: b} }

// minGrowth is the capacity of a body after its first growth, in bytes.
const minGrowth = 4 << 10

// Read reads r to its end, up to maxBytes in all. It fails with ErrBudgetUsedUp, ErrTooLong or the error of r, and
// keeps what it has read.
func (d *Body) Read(r io.Reader, maxBytes int) error {
	for {
		if len(d.data) == cap(d.data) {
			if err := d.grow(maxBytes); err != nil {
				return err
			}
		}
		n, err := r.Read(d.data[len(d.data):cap(d.data)])
		d.data = d.data[:len(d.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Reserve makes room in an empty body for one whose length is known, and fails with ErrBudgetUsedUp if there is none.
func (d *Body) Reserve(length int) error {
	return d.setCapacity(length + 1) // the end of the body is seen by reading beyond it
}

// grow doubles the capacity. One byte beyond maxBytes shows whether a body ends there.
func (d *Body) grow(maxBytes int) error {
	if len(d.data) > maxBytes {
		return ErrTooLong
	}
	return d.setCapacity(min(max(minGrowth, 2*cap(d.data)), maxBytes+1))
}

func (d *Body) setCapacity(n int) error {
	if !d.budget.reserve(int64(n)) {
		return ErrBudgetUsedUp
	}
	data := make([]byte, len(d.data), n)
	copy(data, d.data)
	d.budget.release(int64(cap(d.data)))
	d.data = data
	return nil
}

// Bytes returns what has been read, nothing if d is nil. It is valid until Release.
func (d *Body) Bytes() []byte {
	if d == nil {
		return nil
	}
	return d.data
}

// Release returns the memory to the budget. It may be called more than once, and on nil.
func (d *Body) Release() {
	if d == nil {
		return
	}
	d.budget.release(int64(cap(d.data)))
	d.data = nil
}
