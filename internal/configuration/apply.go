package configuration

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/replication"
)

const (
	// MaxRevisions is the number of accepted changes kept in the object.
	MaxRevisions = 64
	// MaxRevisionObjects is the most object names listed in one revision.
	MaxRevisionObjects = 16
	// settleTries bounds the calls that settle a write whose answer was lost.
	settleTries = 20
	// settleWait is the wait between them.
	settleWait = 250 * time.Millisecond
)

// Revision is one accepted change.
type Revision struct {
	// Base is the version that the change replaced.
	Base Version `json:"base"`
	// Nonce tells one Apply from all others.
	Nonce string `json:"nonce"`
	// At is when it was applied, by the applying VM's wall clock.
	At time.Time `json:"at"`
	// By names the VM that applied it.
	By string `json:"by"`
	// Objects names the objects that it changed, at most MaxRevisionObjects of them.
	Objects []string `json:"objects"`
	// Changed counts them all.
	Changed int `json:"changed"`
}

// stored is the platform's value: the document, and beside it the latest revisions. As both
// are written in one conditional update, the list shows for certain which Apply was accepted.
type stored struct {
	Document
	Revisions []Revision `json:"revisions"`
}

func decodeStored(value []byte) (stored, error) {
	var st stored
	if err := json.Unmarshal(value, &st); err != nil {
		return st, fault.Wrap(err, fault.Malformed, "apply a document that this release can read", "configuration object")
	}
	st.Document = Normalize(st.Document)
	return st, nil
}

// DecodeEntries takes the platform's value of the object apart, as Entries does a document.
func DecodeEntries(value []byte) (map[string]string, error) {
	st, err := decodeStored(value)
	if err != nil {
		return nil, err
	}
	return Entries(st.Document)
}

// Apply checks the whole document and puts it in force if the version in force is still
// ifVersion; 0 means that there must be none. It gives the new version. It fails as Malformed
// with every fault named, as Conflict when another change came first, and as OutcomeUnknown
// when the platform stayed silent about whether the document was accepted; after any other
// error the document was not accepted. A lost answer is settled by reading the object back.
func (s *Service) Apply(ctx context.Context, doc Document, ifVersion Version) (Version, error) {
	doc = Normalize(doc)
	if err := checkError(Check(doc, objectstore.MaxValueBytes)); err != nil {
		return 0, err
	}
	base, err := s.readBase(ctx, ifVersion)
	if err != nil {
		return 0, err
	}
	rev, err := s.revision(base.Document, doc, ifVersion)
	if err != nil {
		return 0, err
	}
	w := write{service: s, doc: doc, base: base, revision: rev}
	version, err := w.run(ctx)
	s.opts.Log.Info("configuration apply", zap.Uint64("if_version", uint64(ifVersion)), zap.Uint64("version", uint64(version)),
		zap.Int("objects", rev.Changed), zap.String("nonce", rev.Nonce), zap.Error(err))
	if err == nil {
		s.announce(ctx, base.Document, ifVersion, doc, version)
	}
	return version, err
}

// readBase reads the object that the change is to replace.
func (s *Service) readBase(ctx context.Context, ifVersion Version) (stored, error) {
	obj, err := s.opts.Store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		obj, err = objectstore.Object{Value: []byte("{}")}, nil
	}
	if err != nil {
		return stored{}, fault.Wrap(err, fault.KindOf(err), "try again when the platform answers; nothing was changed", "read configuration")
	}
	if Version(obj.Version) != ifVersion {
		return stored{}, conflict(Version(obj.Version))
	}
	return decodeStored(obj.Value)
}

func conflict(present Version) error {
	remedy := "read the present version, make the change to it, and apply that"
	return fault.New(fault.Conflict, remedy, fmt.Sprintf("the configuration is at version %d by another change", present))
}

func (s *Service) revision(before, after Document, base Version) (Revision, error) {
	changes, err := Diff(before, after)
	if err != nil {
		return Revision{}, err
	}
	rev := Revision{Base: base, Nonce: rand.Text(), At: time.Now().UTC(), By: s.opts.Self.VM.Name, Changed: len(changes), Objects: []string{}}
	for _, c := range changes[:min(len(changes), MaxRevisionObjects)] {
		rev.Objects = append(rev.Objects, c.Object)
	}
	return rev, nil
}

// announce hands an accepted document on at once.
func (s *Service) announce(ctx context.Context, before Document, ifVersion Version, after Document, version Version) {
	old, err := Entries(before)
	if err != nil {
		return
	}
	entries, err := Entries(after)
	if err != nil {
		return
	}
	s.replica.ApplyWrite(ctx, replication.NewTable(uint64(ifVersion), old), replication.NewTable(uint64(version), entries))
}

// write is one conditional update that is followed until its fate is known.
type write struct {
	service  *Service
	doc      Document
	base     stored
	revision Revision
}

func (w write) run(ctx context.Context) (Version, error) {
	value, err := w.encode()
	if err != nil {
		return 0, err
	}
	store, ifVersion := w.service.opts.Store, uint64(w.revision.Base)
	version, err := store.Put(ctx, ObjectName, value, ifVersion)
	if err == nil {
		return Version(version), nil
	}
	if !fateOpen(err) {
		return 0, fault.Wrap(err, fault.KindOf(err), "read the present version and apply the change to it", "the configuration was not changed")
	}
	for range settleTries {
		version, settled, err := w.settle(ctx, value)
		if settled {
			return version, err
		}
		if !wait(ctx, settleWait) {
			break
		}
	}
	return 0, fault.Wrap(err, fault.OutcomeUnknown, "look for nonce "+w.revision.Nonce+" in the history when the platform answers", "the configuration may have been changed", fault.WithExecution(fault.ExecutionUnknown))
}

func fateOpen(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.Internal)
}

// settle finds out whether the write took effect. Reading the base version back settles
// nothing, as the write may still be on its way; writing the same value on the same condition
// does, as only one of the two can take effect.
func (w write) settle(ctx context.Context, value []byte) (version Version, settled bool, err error) {
	store := w.service.opts.Store
	obj, err := store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		obj, err = objectstore.Object{}, nil
	}
	if err != nil {
		return 0, false, err
	}
	if Version(obj.Version) != w.revision.Base {
		return w.verdict(obj)
	}
	v, err := store.Put(ctx, ObjectName, value, uint64(w.revision.Base))
	if err != nil {
		return 0, false, err
	}
	return Version(v), true, nil
}

// verdict reads from a later object's revisions which write replaced the base.
func (w write) verdict(obj objectstore.Object) (version Version, settled bool, err error) {
	st, err := decodeStored(obj.Value)
	if err != nil {
		return 0, false, err
	}
	i := slices.IndexFunc(st.Revisions, func(r Revision) bool { return r.Base == w.revision.Base })
	switch {
	case i < 0:
		return 0, false, nil
	case st.Revisions[i].Nonce != w.revision.Nonce:
		return 0, true, conflict(Version(obj.Version))
	case i+1 < len(st.Revisions):
		return st.Revisions[i+1].Base, true, nil
	}
	return Version(obj.Version), true, nil
}

func (w write) encode() ([]byte, error) {
	revisions := append(slices.Clone(w.base.Revisions), w.revision)
	revisions = revisions[max(0, len(revisions)-MaxRevisions):]
	for {
		value, err := json.Marshal(stored{Document: w.doc, Revisions: revisions})
		if err != nil {
			return nil, fault.Wrap(err, fault.Malformed, "remove values that JSON cannot hold", "configuration")
		}
		if len(value) <= objectstore.MaxValueBytes {
			return value, nil
		}
		if len(revisions) <= 1 {
			return nil, fault.New(fault.TooLarge, "remove unused objects or shorten names", "the configuration does not fit one object")
		}
		revisions = revisions[len(revisions)/2:]
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// History gives the latest accepted changes, oldest first, at most MaxRevisions. The list lies
// in the same object as the document, so it never misses an accepted change.
func (s *Service) History(ctx context.Context) ([]Revision, error) {
	obj, err := s.opts.Store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindOf(err), "try again when the platform answers", "read configuration history")
	}
	st, err := decodeStored(obj.Value)
	if err != nil {
		return nil, err
	}
	return st.Revisions, nil
}
