package origin

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/notify"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// StoredStreams is what a VM has stored.
type StoredStreams struct {
	// VM is the name of the VM, Version the version of its object.
	VM      string
	Version uint64
	// Records may be older than their time left: wall clocks of VMs differ by up to clock.Tolerance.
	Records []Record
	// Unreadable is set if the object has another format or cannot be decoded. It may be in use by another build, and is
	// not removed.
	Unreadable bool
}

// StreamStore keeps where open streams began while no VM is up, in one object for each VM that records them.
type StreamStore interface {
	// LoadStreams returns all objects, by an up-to-date read.
	LoadStreams(ctx context.Context) ([]StoredStreams, error)
	// LoadStreamsOf returns the object of a VM, with version 0 if there is none.
	LoadStreamsOf(ctx context.Context, vm string) (StoredStreams, error)
	// SaveStreams replaces the object of a VM that has the given version, or creates one if it is 0. It returns the new
	// version, 0 if it is not known, and fails with Conflict if version is outdated.
	SaveStreams(ctx context.Context, s StoredStreams) (version uint64, err error)
	// RemoveStreams removes the object of a VM that has the given version.
	RemoveStreams(ctx context.Context, vm string, version uint64) error
}

// Recorder is the VM that stores the open streams of this one.
type Recorder struct {
	VM      string
	Address netip.AddrPort
}

// StreamKeeperOptions configure a StreamKeeper.
type StreamKeeperOptions struct {
	Self       ident.VM
	Controller *Controller
	Store      StreamStore
	// Recorder returns the VM that stores the open streams of this one. ok is false as long as it is not known.
	Recorder func() (r Recorder, ok bool)
	// Send sends a snapshot to the recorder. It must not block.
	Send func(to netip.AddrPort, s *Snapshot)
	// MayClean reports whether this VM is the one that removes the objects of VMs that are gone.
	MayClean   func() bool
	FirstStart bool
	Clock      clock.Clock
	Log        *zap.Logger
	Metrics    *metrics.Set
}

// StreamKeeper loads the stored records when this VM starts, sends its open streams to the recorder, and stores those of
// other VMs while it is the recorder.
type StreamKeeper struct {
	opts StreamKeeperOptions
	// report signals that open streams of this VM, save that snapshots may have changed.
	report, save chan struct{}
	// version is the version of this VM's object, 0 if there is none. It is valid if versionKnown is set. Only the
	// goroutine that stores uses both.
	version      uint64
	versionKnown bool
	// stored is the number of records in the last write.
	stored       int
	reporter     reporter
	lastRecorder Recorder

	mu sync.Mutex
	// listing is closed when the list in progress for calls has ended, nil if there is none. listedAt is when the last one
	// began.
	listing  chan struct{}
	listedAt clock.Instant
	// others is the number of objects of other VMs in the last list, used whether this VM has written since the last
	// cleaning.
	others int
	used   bool
}

const (
	// reportPause is the minimum time between two snapshots of this VM, savePause that between two writes.
	reportPause = 50 * time.Millisecond
	savePause   = 100 * time.Millisecond
	// Sets of more streams are sent, and stored, more rarely in proportion, as streams whose callers left stay in them for a
	// minute and more: 50 VMs with 115 streams each would send 1.5 MB a second to the recorder.
	reportSize = 32
	saveSize   = 2048
	// expiryPeriod is the time between two checks whether stored records have expired.
	expiryPeriod = 5 * time.Second
	// cleanPeriod is the time between two lists that find objects of VMs that are gone.
	cleanPeriod = time.Minute
	// minListPause is the minimum time between two lists of the stored records for calls of unknown origin.
	minListPause = time.Second
	// The pause after a failed call to the store doubles from minStorePause to maxStorePause. Streams last for a second or
	// a few, so a recorder that waits for longer stores little.
	minStorePause = 100 * time.Millisecond
	maxStorePause = 2 * time.Second
	// loadTimeout bounds a list, all its pages together.
	loadTimeout = 5 * time.Second
)

// NewStreamKeeper returns a StreamKeeper that is not running yet.
func NewStreamKeeper(o StreamKeeperOptions) *StreamKeeper {
	return &StreamKeeper{opts: o, report: make(chan struct{}, 1), save: make(chan struct{}, 1)}
}

// Changed makes the StreamKeeper look for open streams to send and to store. It does not block.
func (k *StreamKeeper) Changed() {
	notify.Signal(k.report)
	notify.Signal(k.save)
}

// StoreRestored makes the StreamKeeper store again, because the store was restored from a backup.
func (k *StreamKeeper) StoreRestored() {
	k.opts.Controller.withRecorder(func(_ clock.Instant, r *recorder, _ func(traffic.StreamOrigin) bool) {
		r.written = nil
	})
	k.Changed()
}

// Run loads, sends and stores, and watches whether the store is away, until ctx ends.
func (k *StreamKeeper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { k.reportLoop(ctx) })
	wg.Go(func() { k.opts.Controller.WatchStore(ctx) })
	if !k.opts.FirstStart {
		k.retry(ctx, "load", func() error { return k.load(ctx) })
	}
	k.saveLoop(ctx)
	wg.Wait()
}

func (k *StreamKeeper) reportLoop(ctx context.Context) {
	for {
		var repeat <-chan time.Time
		switch open, known := k.reportOpen(); {
		case open && !known:
			repeat = time.After(reportPause)
		case open:
			repeat = time.After(reportRepeatPeriod)
		}
		if !clock.Sleep(ctx, pauseFor(reportPause, len(k.reporter.keys), reportSize)) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-k.report:
		case <-repeat:
		}
	}
}

// reportOpen sends the open streams of this VM if they changed or are to be repeated. It reports whether there are any,
// and whether the recorder is known.
func (k *StreamKeeper) reportOpen() (open, known bool) {
	list := k.opts.Controller.openStreams()
	if len(list) == 0 && len(k.reporter.keys) == 0 {
		return false, true
	}
	to, known := k.opts.Recorder()
	if !known {
		return true, false
	}
	s, due := k.reporter.next(k.opts.Clock.Now(), list, to.Address)
	if !due {
		return true, true
	}
	if to != k.lastRecorder {
		k.opts.Log.Info("recorder of open streams", zap.String("recorder", to.VM), zap.String("previous", k.lastRecorder.VM), zap.Int("streams", len(list)))
		k.lastRecorder = to
	}
	k.opts.Metrics.GetOrCreateCounter(`fulmartide_open_streams_reported_total`).Inc()
	if to.VM == k.opts.Self.Name {
		k.opts.Controller.ReceiveSnapshot(k.opts.Self, s)
		return len(list) > 0, true
	}
	k.opts.Send(to.Address, &s)
	return len(list) > 0, true
}

func (k *StreamKeeper) saveLoop(ctx context.Context) {
	cleanAt := k.opts.Clock.Now().Add(cleanPeriod)
	for ctx.Err() == nil {
		k.retry(ctx, "store", func() error { return k.store(ctx) })
		if now := k.opts.Clock.Now(); !now.Before(cleanAt) {
			cleanAt = now.Add(cleanPeriod)
			k.clean(ctx)
		}
		if !clock.Sleep(ctx, pauseFor(savePause, k.stored, saveSize)) {
			return
		}
		select {
		case <-ctx.Done():
		case <-k.save:
		case <-time.After(expiryPeriod):
		}
	}
}

// store writes or removes the object of this VM if that is due.
func (k *StreamKeeper) store(ctx context.Context) error {
	list, action := k.next()
	if action == storeNothing {
		return nil
	}
	if !k.versionKnown {
		if err := k.readOwn(ctx); err != nil {
			return err
		}
		if list, action = k.next(); action == storeNothing {
			return nil
		}
	}
	version := k.version
	k.versionKnown = false // until the outcome is known
	began := k.opts.Clock.Now()
	k.opts.Controller.withRecorder(func(_ clock.Instant, r *recorder, _ func(traffic.StreamOrigin) bool) { r.attempted() })
	var err error
	if action == storeRemove {
		err = k.removeOwn(ctx, version)
	} else {
		err = k.write(ctx, list, version, began)
	}
	result := "ok"
	if err != nil {
		result = string(fault.KindOf(err))
	}
	k.opts.Metrics.GetOrCreateCounter(`fulmartide_stream_records_writes_total{result="` + result + `"}`).Inc()
	k.opts.Metrics.GetOrCreateHistogram(`fulmartide_stream_records_write_seconds`).Update(k.opts.Clock.Now().Sub(began).Seconds())
	return err
}

// next returns the records to store, and what to do.
func (k *StreamKeeper) next() (list []Record, action storeAction) {
	k.opts.Controller.withRecorder(func(now clock.Instant, r *recorder, needed func(traffic.StreamOrigin) bool) {
		var dropped int
		list, dropped = r.union(now, needed)
		if action = r.action(now, list); action == storeWrite && dropped > 0 {
			k.opts.Metrics.GetOrCreateCounter(`fulmartide_stream_records_dropped_total`).Add(dropped)
			k.opts.Log.Warn("records of open streams not stored", zap.Int("streams", dropped), zap.Int("stored", len(list)), zap.String("why", "object full"))
		}
	})
	return list, action
}

// readOwn reads the object of this VM, whose version is not known: it has started, or the outcome of a write is unknown.
// What it holds is carried on.
func (k *StreamKeeper) readOwn(ctx context.Context) error {
	own, err := k.opts.Store.LoadStreamsOf(ctx, k.opts.Self.Name)
	if err != nil {
		return err
	}
	k.adoptOwn(&own)
	return nil
}

func (k *StreamKeeper) adoptOwn(own *StoredStreams) {
	k.version, k.versionKnown = own.Version, true
	k.opts.Controller.withRecorder(func(now clock.Instant, r *recorder, _ func(traffic.StreamOrigin) bool) {
		if own.Version == 0 {
			r.removed()
			return
		}
		r.carry(now, own.Records) // by this VM's own clock; more time would add up with each read
	})
}

func (k *StreamKeeper) write(ctx context.Context, list []Record, version uint64, at clock.Instant) error {
	newVersion, err := k.opts.Store.SaveStreams(ctx, StoredStreams{VM: k.opts.Self.Name, Version: version, Records: list})
	if err != nil {
		return err
	}
	k.opts.Controller.withRecorder(func(_ clock.Instant, r *recorder, _ func(traffic.StreamOrigin) bool) { r.wrote(at, list) })
	k.version, k.versionKnown, k.stored = newVersion, newVersion != 0, len(list)
	if version == 0 {
		k.opts.Log.Info("open streams are stored from now on", zap.Int("streams", len(list)))
	}
	k.setUsed()
	return nil
}

func (k *StreamKeeper) removeOwn(ctx context.Context, version uint64) error {
	if version != 0 {
		if err := k.opts.Store.RemoveStreams(ctx, k.opts.Self.Name, version); err != nil && !fault.Is(err, fault.NotFound) {
			return err
		}
		k.opts.Log.Info("open streams are no longer stored", zap.String("why", "no record is needed"))
	}
	k.stored = 0
	k.opts.Controller.withRecorder(func(_ clock.Instant, r *recorder, _ func(traffic.StreamOrigin) bool) { r.removed() })
	k.version, k.versionKnown = 0, true
	return nil
}

// retry repeats an operation until it succeeds or ctx ends.
func (k *StreamKeeper) retry(ctx context.Context, name string, operation func() error) {
	for pause := minStorePause; ; pause = min(2*pause, maxStorePause) {
		err := operation()
		if err == nil || ctx.Err() != nil {
			return
		}
		k.opts.Log.Warn("could not "+name+" records of open streams", zap.Error(err), zap.Duration("pause", pause))
		clock.Sleep(ctx, pause)
	}
}

// pauseFor returns the pause after n streams were sent or stored.
func pauseFor(shortest time.Duration, n, size int) time.Duration {
	return shortest * time.Duration(max(n, size)) / time.Duration(size)
}

// tolerant returns records with more time left, as the clock of the VM that stored them may have been behind.
func tolerant(list []Record) []Record {
	out := make([]Record, 0, len(list))
	for _, rec := range list {
		rec.Left += clock.Tolerance
		out = append(out, rec)
	}
	return out
}
