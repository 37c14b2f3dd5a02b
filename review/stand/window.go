package stand

import (
	"sync/atomic"
	"time"
)

// Extras says when additional bytes follow the answers of a replica.
type Extras struct {
	// Bytes are the additional bytes. They follow one answer in Every, during windows that are Length long and begin each Period.
	Bytes          string
	Every          int
	Length, Period time.Duration

	began time.Time
	sent  atomic.Int64
}

// Sent returns how often the bytes were sent.
func (x *Extras) Sent() int64 { return x.sent.Load() }

// Apply makes the bytes follow the answers of a replica.
func (x *Extras) Apply(rec *Record, r *Plain) {
	x.began = time.Now()
	inWindow := 0
	r.Extra = func(int) string { // called for one answer at a time
		if time.Since(x.began)%x.Period < x.Period-x.Length {
			return ""
		}
		if inWindow++; inWindow%x.Every != 0 {
			return ""
		}
		x.sent.Add(1)
		rec.Note("replica %s: additional bytes follow a complete answer, late", r.ID)
		return x.Bytes
	}
}
