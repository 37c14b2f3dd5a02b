package admission

// shareHistory holds, for each bucket of the window, the share of the fleet that this VM could reach. What
// it knows of the usage in a bucket is taken to be that share of the whole fleet's, as unreachable VMs
// may have admitted calls as well.
type shareHistory struct {
	shares [accountBuckets]float64
	bucket int64
	// current is the share now. partial is set if it or an earlier one in the window may be below 1.
	current float64
	partial bool
}

func newShareHistory(bucket int64) shareHistory {
	h := shareHistory{bucket: bucket, current: 1}
	for i := range h.shares {
		h.shares[i] = 1
	}
	return h
}

// advance adds the buckets that have begun.
func (h *shareHistory) advance(bucket int64) {
	if bucket-h.bucket > accountBuckets {
		h.bucket = bucket - accountBuckets
	}
	for h.bucket < bucket {
		h.bucket++
		h.shares[h.bucket%accountBuckets] = h.current
	}
}

// set records a new share. A lower one applies to the last buckets as well, in which the VMs that are now
// known to be unreachable were so already. With a higher one the VMs that have become reachable report
// what they have admitted, so it applies to the whole window.
func (h *shareHistory) set(bucket int64, share float64, unnoticed int64) {
	h.advance(bucket)
	if share == h.current {
		return
	}
	h.current = share
	h.partial = false
	for age := range int64(accountBuckets) {
		s := &h.shares[(bucket-age+accountBuckets*accountBuckets)%accountBuckets]
		*s = max(*s, share)
		if age <= unnoticed {
			*s = share
		}
		h.partial = h.partial || *s < 1
	}
}

// estimate returns the usage of an account by the whole fleet, in tokens.
func (h *shareHistory) estimate(a *account) float64 {
	if !h.partial {
		return float64(a.sum)
	}
	h.advance(a.bucket)
	sum := 0.0
	for i, tokens := range a.buckets {
		sum += float64(tokens) / h.shares[i]
	}
	return sum
}
