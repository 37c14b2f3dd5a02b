package origin

import (
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/storekeeper"
)

// Store keeps the versions of services while no VM is up.
type Store interface {
	// LoadVersions returns the stored sightings and the version of their object, 0 if there is none. A stale read may be
	// seconds old and is cheaper.
	LoadVersions(ctx context.Context, stale bool) (sightings []Sighting, version uint64, err error)
	// SaveVersions replaces the stored sightings. It fails with Conflict if version is outdated.
	SaveVersions(ctx context.Context, sightings []Sighting, version uint64) error
}

const (
	// firstStoreDelay is the time between the first table of endpoints and the storing of its versions. By then the VMs
	// that have started know each other, and with that the one that stores. A VM that is the first one of those listed
	// stores at once: a version that appeared while all VMs were down is not known if they are lost again before that.
	firstStoreDelay = 2 * time.Second
	// firstCheckPause is the time between two checks whether this VM is the first one listed.
	firstCheckPause = 100 * time.Millisecond
)

// completePause is the time between two checks whether this VM knows all versions. What is stored counts as all of them.
const completePause = time.Second

// NewKeeper returns a Keeper for the versions that c knows. mayStore reports whether this VM is the one that stores
// them, isFirst whether it has the lowest address of all VMs that are listed.
func NewKeeper(c *Controller, s Store, mayStore, isFirst func() bool, firstStart bool, log *zap.Logger) *storekeeper.Keeper {
	k := &keeper{controller: c, store: s, mayStore: mayStore, isFirst: isFirst, delay: firstStoreDelay, log: log}
	return storekeeper.New(storekeeper.Options{Name: "versions of services", FirstStart: firstStart, Log: log, Load: k.load, Save: k.save})
}

type keeper struct {
	controller *Controller
	store      Store
	mayStore   func() bool
	isFirst    func() bool
	// delay is the time until the next storing.
	delay time.Duration
	log   *zap.Logger
}

// load never accepts a stale read: it may lack a version at which streams began just before all VMs were lost, and then
// the other version seems to be the only one.
func (k *keeper) load(ctx context.Context, _ bool) error {
	sightings, version, err := k.store.LoadVersions(ctx, false)
	if fault.Is(err, fault.Malformed) {
		k.log.Warn("stored versions of services ignored", zap.Error(err))
		k.controller.finishLoadingVersions()
		return nil
	}
	for i := range sightings {
		sightings[i].Age = max(0, sightings[i].Age-clock.Tolerance) // so that a version is never forgotten too early
	}
	if err == nil && version != 0 {
		k.controller.Merge(State{Sightings: sightings, Complete: true}, fromStore)
	}
	if err == nil {
		k.controller.finishLoadingVersions()
	}
	return err
}

func (k *keeper) save(ctx context.Context) error {
	for ; k.delay > 0 && !k.isFirst(); k.delay -= firstCheckPause {
		clock.Sleep(ctx, firstCheckPause)
	}
	k.delay = 0
	for k.controller.NeedsState() {
		if !clock.Sleep(ctx, completePause) {
			return nil
		}
	}
	if !k.mayStore() {
		return nil
	}
	stored, version, err := k.store.LoadVersions(ctx, false)
	if err != nil && !fault.Is(err, fault.Malformed) {
		return err
	}
	known := k.controller.State().Sightings
	if version != 0 && err == nil && slices.Equal(listedVersions(stored), listedVersions(known)) {
		return nil
	}
	return k.store.SaveVersions(ctx, known, version)
}

// listedVersions returns the services and versions that are listed, in order.
func listedVersions(sightings []Sighting) []string {
	var out []string
	for _, s := range sightings {
		if s.Listed {
			out = append(out, s.Origin.Service+" "+s.Origin.Version)
		}
	}
	slices.SortFunc(out, strings.Compare)
	return out
}
