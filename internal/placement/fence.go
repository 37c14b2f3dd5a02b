package placement

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

const (
	// claimLife is how long a claim to give orders lasts.
	claimLife = 10 * time.Second
	// orderLimit bounds one order; it is also the longest that one may still be on its way after
	// its claim has ended.
	orderLimit = 2 * time.Second
)

// fencer holds the right to give orders in one cell: a claim in a platform object, whose
// version is the fencing number. The claim is taken only when there is an order to give.
type fencer struct {
	store  objectstore.Store
	clock  clock.Clock
	object string
	self   string

	mu sync.Mutex
	// fence is the number of the present claim, and until its end.
	fence uint64
	until clock.Instant
	// unsure is set when a write that took the claim over may have taken effect unseen.
	unsure bool
	// settled is when no order of an earlier holder can arrive any more.
	settled clock.Instant
}

// claimValue is the platform object's value.
type claimValue struct {
	Holder string `json:"holder"`
}

// hold gives a fencing number for one order of at most orderLimit. For an endpoint that does
// not check it, it fails as Unavailable until the former holder's claim and orders are over.
func (f *fencer) hold(ctx context.Context, checksFence bool) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clock.Now().Add(orderLimit) >= f.until {
		if err := f.claim(ctx); err != nil {
			return 0, err
		}
	}
	now := f.clock.Now()
	if now.Add(orderLimit) >= f.until {
		return 0, errClaimOver
	}
	if !checksFence && now < f.settled {
		return 0, errClaimUnsettled
	}
	return f.fence, nil
}

var (
	errClaimOver      = fault.New(fault.Unavailable, "none needed: it is tried again", "the claim to give orders ran out")
	errClaimUnsettled = fault.New(fault.Unavailable, "none needed: it is tried again", "orders of the former owner may still arrive")
)

// claim takes or renews the claim. Its life counts from before the write.
func (f *fencer) claim(ctx context.Context) error {
	former, err := f.store.Get(ctx, f.object)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	value, err := json.Marshal(claimValue{Holder: f.self})
	if err != nil {
		return err
	}
	took := former.Version != 0 && !f.holds(former.Value)
	f.unsure = f.unsure || took
	began := f.clock.Now()
	version, err := f.store.Put(ctx, f.object, value, former.Version)
	if err != nil {
		return err
	}
	f.fence = version
	f.until = began.Add(claimLife)
	if f.unsure {
		f.unsure = false
		f.settled = f.clock.Now().Add(claimLife + orderLimit)
	}
	return nil
}

func (f *fencer) holds(raw []byte) bool {
	var v claimValue
	return json.Unmarshal(raw, &v) == nil && v.Holder == f.self
}
