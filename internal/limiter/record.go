package limiter

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// recordPrefix starts the platform objects that name the share holders, one a data centre.
const recordPrefix = "limits/"

// RecordName names a data centre's object.
func RecordName(dataCentre string) string { return recordPrefix + dataCentre }

// FirstLayoutName is the object that holds the layout the fleet began with. All data centres
// of that layout may begin with full shares: they sum to each plan, and nothing was granted
// before.
const FirstLayoutName = "limits-first-layout"

// start says how a new holder of a shard begins.
type start string

const (
	// startFull: the shard never had a holder.
	startFull start = "full"
	// startEmpty: the former holder is gone and its balances with it.
	startEmpty start = "empty"
	// startHandover: the former holder stopped granting and sends its balances.
	startHandover start = "handover"
)

// holding says who holds a shard. A term never has two holders.
type holding struct {
	VM    ident.VM `json:"vm"`
	Term  uint64   `json:"term"`
	Start start    `json:"start"`
}

// Layout is a division of plans among data centres. Confirmed means that all holders of the
// record's data centre keep within it.
type Layout struct {
	Version   uint64  `json:"version"`
	Weights   Weights `json:"weights"`
	Confirmed bool    `json:"confirmed"`
}

// Record is the content of a data centre's object. Each workspace's share is the least that
// any of Layouts gives.
type Record struct {
	Shards  []holding `json:"shards"`
	Layouts []Layout  `json:"layouts"`
}

// DecodeRecord reads the value of a record's object.
func DecodeRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "delete the object only with all VMs of the data centre stopped", "record of share holders")
	}
	if len(r.Shards) != Shards || len(r.Layouts) == 0 {
		return nil, fault.New(fault.Malformed, "run the same release on all VMs", "record of share holders has another number of shards")
	}
	return &r, nil
}

// Encode gives the value of the record's object.
func (r *Record) Encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // no field of a record can fail to encode
	}
	return raw
}

// DecodeLayout reads the value of the object FirstLayoutName.
func DecodeLayout(raw []byte) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(raw, &l); err != nil {
		return Layout{}, fault.Wrap(err, fault.Malformed, "delete the object only with all VMs stopped", "first layout of shares")
	}
	return l, nil
}

// Encode gives the value of the object FirstLayoutName.
func (l Layout) Encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(err) // no field of a layout can fail to encode
	}
	return raw
}

func (r *Record) clone() *Record {
	return &Record{Shards: slices.Clone(r.Shards), Layouts: slices.Clone(r.Layouts)}
}

func (r *Record) newest() *Layout { return &r.Layouts[len(r.Layouts)-1] }

// share gives the least share of a plan over all layouts.
func (r *Record) share(plan Limit, dataCentre string) Limit {
	out := plan
	for _, l := range r.Layouts {
		s := l.Weights.share(plan, dataCentre)
		out.Rate = min(out.Rate, s.Rate)
		out.Burst = min(out.Burst, s.Burst)
	}
	return out
}

// admits reports whether this data centre keeps within l and knows of no newer layout, so
// that others may use l.
func (r *Record) admits(l Layout) bool {
	mine := r.newest()
	return mine.Confirmed && mine.Version >= l.Version && maps.Equal(mine.Weights, l.Weights)
}

// settled reports whether the record divides plans by l alone.
func (r *Record) settled(l Layout) bool {
	return len(r.Layouts) == 1 && maps.Equal(r.Layouts[0].Weights, l.Weights)
}

// holders gives each VM that holds a shard, once.
func (r *Record) holders() []ident.VM {
	seen := map[ident.VM]bool{}
	var out []ident.VM
	for _, h := range r.Shards {
		if !seen[h.VM] {
			seen[h.VM] = true
			out = append(out, h.VM)
		}
	}
	return out
}
