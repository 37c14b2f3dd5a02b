package limiter

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// records is what a requester knows of the holders in all data centres. The own data
// centre's record comes from the holder machine; the others are asked of their own VMs when
// they are needed, and read from the platform when none of those answers.
type records struct {
	store objectstore.Store
	own   string
	// ask gets the record of a data centre from one of its VMs, if it is above a version.
	ask func(ctx context.Context, dataCentre string, above uint64) (*controlReply, error)

	mu    sync.Mutex
	known map[string]*knownRecord
}

type knownRecord struct {
	record   *Record
	version  uint64
	lastRead time.Time
}

func newRecords(store objectstore.Store, own string) *records {
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

// holder gives the holder of a shard; it reads the record if there is none yet.
func (r *records) holder(ctx context.Context, dataCentre string, shard int) (ident.VM, bool) {
	rec := r.get(dataCentre)
	if rec == nil && dataCentre != r.own && r.mayRead(dataCentre) {
		r.refresh(ctx, dataCentre)
		rec = r.get(dataCentre)
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
	if time.Since(k.lastRead) < peerStalePeriod {
		return false
	}
	k.lastRead = time.Now()
	return true
}

func (r *records) refresh(ctx context.Context, dataCentre string) {
	r.mu.Lock()
	above := r.entry(dataCentre).version
	r.mu.Unlock()
	reply, err := r.ask(ctx, dataCentre, above)
	if err != nil || reply.Version == 0 {
		_, _ = r.read(ctx, RecordName(dataCentre))
		return
	}
	if rec, err := DecodeRecord(reply.Record); err == nil {
		r.put(dataCentre, rec, reply.Version)
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
