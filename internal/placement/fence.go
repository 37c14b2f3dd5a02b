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
	// claimDuration is how long a claim on a cell's orders is valid.
	claimDuration = 10 * time.Second
	// orderTimeout bounds one order. It is also the maximum time for which an order may remain
	// in flight after the claim it was sent under has expired.
	orderTimeout = 2 * time.Second
)

// orderFence manages the exclusive right to send orders in one cell. The right is a claim in a
// platform object whose version serves as the fencing token. The claim is acquired only when
// there is an order to send.
type orderFence struct {
	store  objectstore.Store
	clock  clock.Clock
	object string
	self   string

	mu sync.Mutex
	// fence is the fencing token of the current claim; expiresAt is when the claim ends.
	fence     uint64
	expiresAt clock.Instant
	// takeoverUncertain is set if a write that took over the claim may have succeeded although
	// its response was lost.
	takeoverUncertain bool
	// priorOrdersDoneAt is when no order of a previous holder can be in flight any more.
	priorOrdersDoneAt clock.Instant
}

// claimValue is the value of the platform object.
type claimValue struct {
	Holder string `json:"holder"`
}

// acquire returns a fencing token for one order, which must complete within orderTimeout. For
// an endpoint that does not check the token, it fails as Unavailable until the previous
// holder's claim has expired and its orders can no longer arrive.
func (f *orderFence) acquire(ctx context.Context, checksFence bool) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clock.Now().Add(orderTimeout) >= f.expiresAt {
		if err := f.writeClaim(ctx); err != nil {
			return 0, err
		}
	}
	now := f.clock.Now()
	if now.Add(orderTimeout) >= f.expiresAt {
		return 0, errClaimExpired
	}
	if !checksFence && now < f.priorOrdersDoneAt {
		return 0, errPriorOrdersPending
	}
	return f.fence, nil
}

var (
	errClaimExpired       = fault.New(fault.Unavailable, "no action needed: the order is retried", "the claim on the cell's orders expired")
	errPriorOrdersPending = fault.New(fault.Unavailable, "no action needed: the order is retried", "orders of the previous owner may still be in flight")
)

// writeClaim acquires or renews the claim. The claim's duration counts from before the write,
// so that it has ended when a successor has waited claimDuration after its own write.
func (f *orderFence) writeClaim(ctx context.Context) error {
	former, err := f.store.Get(ctx, f.object)
	if err != nil && !fault.Is(err, fault.NotFound) {
		return err
	}
	value, err := json.Marshal(claimValue{Holder: f.self})
	if err != nil {
		return err
	}
	takeover := former.Version != 0 && !f.isOwnClaim(former.Value)
	f.takeoverUncertain = f.takeoverUncertain || takeover
	startedAt := f.clock.Now()
	version, err := f.store.Put(ctx, f.object, value, former.Version)
	if err != nil {
		return err
	}
	f.fence = version
	f.expiresAt = startedAt.Add(claimDuration)
	if f.takeoverUncertain {
		f.takeoverUncertain = false
		f.priorOrdersDoneAt = f.clock.Now().Add(claimDuration + orderTimeout)
	}
	return nil
}

func (f *orderFence) isOwnClaim(raw []byte) bool {
	var v claimValue
	return json.Unmarshal(raw, &v) == nil && v.Holder == f.self
}
