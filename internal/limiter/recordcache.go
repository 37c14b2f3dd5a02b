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

// recordCache caches the records of all data centres for requesters. The local record is set by
// the holder state machine. The others are fetched on demand from VMs of their data centre, or
// from the platform if the queried VM does not return it.
type recordCache struct {
	store           objectstore.Store
	localDataCentre string
	// fetch gets the record of a data centre from one of its VMs if it is newer than a version.
	fetch func(ctx context.Context, dataCentre string, newerThan uint64) (*controlReply, error)

	mu      sync.Mutex
	entries map[string]*cachedRecord
}

type cachedRecord struct {
	record   *Record
	version  uint64
	lastRead time.Time
}

func newRecordCache(store objectstore.Store, localDC string) *recordCache {
	return &recordCache{store: store, localDataCentre: localDC, entries: map[string]*cachedRecord{}}
}

func (r *recordCache) put(dataCentre string, rec *Record, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entry(dataCentre)
	if version > k.version {
		k.record, k.version = rec, version
	}
}

func (r *recordCache) entry(dataCentre string) *cachedRecord {
	k := r.entries[dataCentre]
	if k == nil {
		k = &cachedRecord{}
		r.entries[dataCentre] = k
	}
	return k
}

// holder returns the holder of a shard. It fetches the record if it is not cached.
func (r *recordCache) holder(ctx context.Context, dataCentre string, shard int) (ident.VM, bool) {
	rec := r.get(dataCentre)
	if rec == nil && dataCentre != r.localDataCentre && r.allowRefresh(dataCentre) {
		r.refresh(ctx, dataCentre)
		rec = r.get(dataCentre)
	}
	if rec == nil {
		return ident.VM{}, false
	}
	return rec.Shards[shard].VM, true
}

func (r *recordCache) get(dataCentre string) *Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entry(dataCentre).record
}

// allowRefresh limits the fetches of one record to one per peerStalePeriod.
func (r *recordCache) allowRefresh(dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.entry(dataCentre)
	if time.Since(k.lastRead) < peerStalePeriod {
		return false
	}
	k.lastRead = time.Now()
	return true
}

func (r *recordCache) refresh(ctx context.Context, dataCentre string) {
	r.mu.Lock()
	newerThan := r.entry(dataCentre).version
	r.mu.Unlock()
	reply, err := r.fetch(ctx, dataCentre, newerThan)
	if err != nil || reply.Version == 0 {
		_, _ = r.read(ctx, RecordName(dataCentre))
		return
	}
	if rec, err := DecodeRecord(reply.Record); err == nil {
		r.put(dataCentre, rec, reply.Version)
	}
}

// read reads one record from the platform and caches it. A missing record has version 0.
func (r *recordCache) read(ctx context.Context, name string) (*cachedRecord, error) {
	o, err := r.store.Get(ctx, name)
	if fault.Is(err, fault.NotFound) {
		return &cachedRecord{}, nil
	}
	if err != nil {
		return nil, err
	}
	rec, err := DecodeRecord(o.Value)
	if err != nil {
		return nil, err
	}
	r.put(strings.TrimPrefix(name, recordPrefix), rec, o.Version)
	return &cachedRecord{record: rec, version: o.Version}, nil
}

// readOthers reads the records of all other data centres.
func (r *recordCache) readOthers(ctx context.Context) (map[string]*Record, error) {
	objects, err := r.store.List(ctx, recordPrefix)
	if err != nil {
		return nil, err
	}
	out := map[string]*Record{}
	for _, o := range objects {
		dc := strings.TrimPrefix(o.Name, recordPrefix)
		if dc == r.localDataCentre {
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
