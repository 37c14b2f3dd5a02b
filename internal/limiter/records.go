package limiter

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/platform"
)

// records is what a requester knows of the holders in all data centres. The own data
// centre's record comes from the holder machine, the others are read when they are needed.
type records struct {
	store platform.Store
	own   string
	// fromPeers asks VMs for a record that the platform does not give.
	fromPeers func(ctx context.Context, dataCentre string)

	mu    sync.Mutex
	known map[string]*knownRecord
}

type knownRecord struct {
	record   *Record
	version  uint64
	lastRead time.Time
}

func newRecords(store platform.Store, own string) *records {
	return &records{store: store, own: own, known: map[string]*knownRecord{}}
}

func (r *records) put(dataCentre string, rec *Record, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entry(dataCentre)
	if version > k.version {
		k.record, k.version = rec, version
	}
}

func (r *records) entry(dataCentre string) *knownRecord {
	k := r.known[dataCentre]
	if k == nil {
		k = &knownRecord{}
		r.known[dataCentre] = k
	}
	return k
}

// holder gives the holder of a shard. Without a record it asks VMs, which costs the platform
// nothing, then the platform.
func (r *records) holder(ctx context.Context, dataCentre string, shard int) (ident.VM, bool) {
	rec := r.get(dataCentre)
	if rec == nil && r.mayRead(dataCentre) {
		r.fromPeers(ctx, dataCentre)
		if rec = r.get(dataCentre); rec == nil {
			r.refresh(ctx, dataCentre)
			rec = r.get(dataCentre)
		}
	}
	if rec == nil {
		return ident.VM{}, false
	}
	return rec.Shards[shard].VM, true
}

func (r *records) get(dataCentre string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry(dataCentre).record
}

// mayRead spaces the reads of one record by stalePeriod.
func (r *records) mayRead(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entry(dataCentre)
	if time.Since(k.lastRead) < stalePeriod {
		return false
	}
	k.lastRead = time.Now()
	return true
}

// refresh reads a record from the platform, or else from VMs. The own data centre's record is
// the holder machine's to read.
func (r *records) refresh(ctx context.Context, dataCentre string) {
	if dataCentre == r.own {
		return
	}
	if _, err := r.read(ctx, RecordName(dataCentre)); err != nil {
		r.fromPeers(ctx, dataCentre)
	}
}

// read gets one record from the platform and keeps it. A missing one gives version 0.
func (r *records) read(ctx context.Context, name string) (*knownRecord, error) {
	o, err := r.store.Get(ctx, name)
	if fault.Is(err, fault.NotFound) {
		return &knownRecord{}, nil
	}
	if err != nil {
		return nil, err
	}
	rec, err := DecodeRecord(o.Value)
	if err != nil {
		return nil, err
	}
	r.put(strings.TrimPrefix(name, recordPrefix), rec, o.Version)
	return &knownRecord{record: rec, version: o.Version}, nil
}

// readOthers reads the records of all data centres but the own one.
func (r *records) readOthers(ctx context.Context) (map[string]*Record, error) {
	objects, err := r.store.List(ctx, recordPrefix)
	if err != nil {
		return nil, err
	}
	out := map[string]*Record{}
	for _, o := range objects {
		dc := strings.TrimPrefix(o.Name, recordPrefix)
		if dc == r.own {
			continue
		}
		k, err := r.read(ctx, o.Name)
		if err != nil {
			return nil, err
		}
		if k.record != nil {
			out[dc] = k.record
		}
	}
	return out, nil
}
