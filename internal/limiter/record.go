package limiter

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// recordPrefix is the name prefix of the platform objects that list the shard holders. There is
// one object per data centre.
const recordPrefix = "limits/"

// RecordName returns the name of a data centre's object.
func RecordName(dataCentre string) string { return recordPrefix + dataCentre }

// FirstLayoutName is the name of the object that stores the initial layout of the fleet. The data
// centres in it start with full balances, which sum to the plans. A data centre that is added later
// starts with empty ones, because the others may already have granted the plans' tokens.
const FirstLayoutName = "limits-first-layout"

// startMode determines the balances with which a new holder of a shard starts.
type startMode string

const (
	// startFull means that the shard has never had a holder.
	startFull startMode = "full"
	// startEmpty means that the previous holder is gone and its balances are lost.
	startEmpty startMode = "empty"
	// startHandover means that the previous holder has stopped granting and sends its balances.
	startHandover startMode = "handover"
)

// assignment identifies the holder of a shard. A term never has two holders.
type assignment struct {
	VM    ident.VM  `json:"vm"`
	Term  uint64    `json:"term"`
	Start startMode `json:"start"`
}

// Layout divides plans among data centres. Confirmed means that all holders of the record's data
// centre grant no more than the share that this layout gives the data centre.
type Layout struct {
	Version   uint64  `json:"version"`
	Weights   Weights `json:"weights"`
	Confirmed bool    `json:"confirmed"`
}

// Record is the content of a data centre's object. Each workspace's share is the minimum over all
// Layouts.
type Record struct {
	Shards  []assignment `json:"shards"`
	Layouts []Layout     `json:"layouts"`
}

// DecodeRecord decodes the value of a record object.
func DecodeRecord(raw []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "stop all VMs of the data centre, then delete the object and start them again", "decode record of shard holders")
	}
	if len(r.Shards) != Shards || len(r.Layouts) == 0 {
		return nil, fault.New(fault.Malformed, "run the same release on all VMs", "record of shard holders has the wrong number of shards or no layout")
	}
	return &r, nil
}

// Encode returns the value of the record object.
func (r *Record) Encode() []byte {
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // a Record always marshals
	}
	return raw
}

// DecodeLayout decodes the value of the object FirstLayoutName.
func DecodeLayout(raw []byte) (Layout, error) {
	var l Layout
	if err := json.Unmarshal(raw, &l); err != nil {
		return Layout{}, fault.Wrap(err, fault.Malformed, "stop all VMs, then delete the object and start them again", "decode initial layout of shares")
	}
	return l, nil
}

// Encode returns the value of the object FirstLayoutName.
func (l Layout) Encode() []byte {
	raw, err := json.Marshal(l)
	if err != nil {
		panic(err) // a Layout always marshals
	}
	return raw
}

func (r *Record) clone() *Record {
	return &Record{Shards: slices.Clone(r.Shards), Layouts: slices.Clone(r.Layouts)}
}

func (r *Record) newest() *Layout { return &r.Layouts[len(r.Layouts)-1] }

// shareOf returns the smallest share of a plan over all layouts.
func (r *Record) shareOf(plan Limit, dataCentre string) Limit {
	out := plan
	for _, l := range r.Layouts {
		s := l.Weights.shareOf(plan, dataCentre)
		out.Rate = min(out.Rate, s.Rate)
		out.Burst = min(out.Burst, s.Burst)
	}
	return out
}

// agreesOn reports whether the newest layout of the record is confirmed, has the weights of l and is
// not older than l. Once this holds for the records of all data centres, l can replace the older
// layouts.
func (r *Record) agreesOn(l Layout) bool {
	own := r.newest()
	return own.Confirmed && own.Version >= l.Version && maps.Equal(own.Weights, l.Weights)
}

// usesOnly reports whether the record has only one layout, with the weights of l.
func (r *Record) usesOnly(l Layout) bool {
	return len(r.Layouts) == 1 && maps.Equal(r.Layouts[0].Weights, l.Weights)
}

// holders returns the VMs that hold at least one shard, without duplicates.
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
