package configuration

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/jsonsplit"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/replication"
)

const (
	// MaxRevisions is the maximum number of revisions kept in the object. A large document may leave
	// space for fewer.
	MaxRevisions = 64
	// MaxRevisionObjects is the maximum number of object names listed in one revision.
	MaxRevisionObjects = 16
	// resolveAttempts bounds the attempts to resolve a write whose response was lost.
	resolveAttempts = 20
	// resolveInterval is the wait between these attempts.
	resolveInterval = 250 * time.Millisecond
)

// Revision is one accepted change.
type Revision struct {
	// Base is the version that the change replaced.
	Base Version `json:"base"`
	// Nonce identifies the Apply call.
	Nonce string `json:"nonce"`
	// AppliedAt is the wall-clock time at the VM that applied the change.
	AppliedAt time.Time `json:"at"`
	// AppliedBy names the VM that applied the change.
	AppliedBy string `json:"by"`
	// Objects lists the first MaxRevisionObjects changed objects.
	Objects []string `json:"objects"`
	// ChangedCount is the total number of changed objects.
	ChangedCount int `json:"changed"`
}

// storedDocument is the value of the platform object: the document and its latest revisions. Both
// are written in one conditional update, so the revisions show which Apply was accepted.
type storedDocument struct {
	Document
	Revisions []Revision `json:"revisions"`
	// unreadable are the objects that this build cannot read, in the form of Entries.
	unreadable map[string]string
}

// decodeStoredDocument decodes the value of the platform object. Objects and revisions that cannot be read are left out.
func decodeStoredDocument(value []byte) (storedDocument, error) {
	raw, revisions, err := splitStoredDocument(value)
	if err != nil {
		return storedDocument{}, fault.Wrap(err, fault.Malformed, "apply a document that this release can read", "configuration object")
	}
	st := storedDocument{unreadable: map[string]string{}}
	var unreadable []string
	st.Document, unreadable = fromEntries(raw)
	st.Document = Normalize(st.Document)
	for _, object := range unreadable {
		st.unreadable[object] = raw[object]
	}
	for _, raw := range revisions {
		var r Revision
		if json.Unmarshal(raw, &r) == nil {
			st.Revisions = append(st.Revisions, r)
		}
	}
	return st, nil
}

// splitStoredDocument returns the objects of the value of the platform object by section/name, and its revisions.
func splitStoredDocument(value []byte) (objects map[string]string, revisions []json.RawMessage, err error) {
	members, err := jsonsplit.Members(value)
	if err != nil {
		return nil, nil, err
	}
	objects = map[string]string{}
	for section, raw := range members {
		if !slices.Contains(sections, section) || string(raw) == "null" {
			continue
		}
		bySection, err := jsonsplit.Members(raw)
		if err != nil {
			return nil, nil, fault.Wrap(err, fault.Malformed, "apply a document that this release can read", "section "+section)
		}
		for name, object := range bySection {
			objects[section+"/"+name] = string(object)
		}
	}
	if raw, ok := members["revisions"]; ok {
		revisions, err = jsonsplit.Elements(raw)
	}
	return objects, revisions, err
}

// DecodeEntries decodes the value of the platform object into the form that Entries returns. Objects that this build cannot
// read are returned as they are, as other VMs may be able to read them.
func DecodeEntries(value []byte) (map[string]string, error) {
	st, err := decodeStoredDocument(value)
	if err != nil {
		return nil, err
	}
	entries, err := Entries(st.Document)
	if err != nil {
		return nil, err
	}
	maps.Copy(entries, st.unreadable)
	return entries, nil
}

// Apply validates the document and stores it if the stored version is still ifVersion; 0 means
// that no document may be stored yet. It returns the new version.
//
// The error is Malformed and lists every violation if the document is invalid, Conflict if another
// change was accepted first, and OutcomeUnknown if the platform did not respond and it is not known
// whether the document was accepted. After any other error the document was not accepted. If the
// response to a write is lost, Apply reads the object back to find out whether it took effect.
func (s *Service) Apply(ctx context.Context, doc Document, ifVersion Version) (Version, error) {
	doc = Normalize(doc)
	if err := checkError(Check(doc, objectstore.MaxValueBytes)); err != nil {
		return 0, err
	}
	base, err := s.readBase(ctx, ifVersion)
	if err != nil {
		return 0, err
	}
	rev, err := s.newRevision(base.Document, doc, ifVersion)
	if err != nil {
		return 0, err
	}
	w := conditionalWrite{service: s, doc: doc, base: base, revision: rev}
	version, err := w.run(ctx)
	s.opts.Log.Info("configuration apply", zap.Uint64("if_version", uint64(ifVersion)), zap.Uint64("version", uint64(version)),
		zap.Int("objects", rev.ChangedCount), zap.String("nonce", rev.Nonce), zap.Error(err))
	if err == nil {
		s.replicate(ctx, base.Document, ifVersion, doc, version)
	}
	return version, err
}

// readBase reads the stored document and returns Conflict if its version is not ifVersion.
func (s *Service) readBase(ctx context.Context, ifVersion Version) (storedDocument, error) {
	obj, err := s.opts.Store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		obj, err = objectstore.Object{Value: []byte("{}")}, nil
	}
	if err != nil {
		return storedDocument{}, fault.Wrap(err, fault.KindOf(err), "try again when the platform is available; nothing was changed", "read configuration")
	}
	if Version(obj.Version) != ifVersion {
		return storedDocument{}, conflict(Version(obj.Version))
	}
	return decodeStoredDocument(obj.Value)
}

func conflict(present Version) error {
	remedy := "read the current version, make the change to it, and apply the result"
	return fault.New(fault.Conflict, remedy, fmt.Sprintf("the current configuration version is %d, which is not the expected version", present))
}

func (s *Service) newRevision(before, after Document, base Version) (Revision, error) {
	changes, err := Diff(before, after)
	if err != nil {
		return Revision{}, err
	}
	rev := Revision{Base: base, Nonce: rand.Text(), AppliedAt: time.Now().UTC(), AppliedBy: s.opts.Self.VM.Name, ChangedCount: len(changes), Objects: []string{}}
	for _, c := range changes[:min(len(changes), MaxRevisionObjects)] {
		rev.Objects = append(rev.Objects, c.Object)
	}
	return rev, nil
}

// replicate adopts an accepted document and sends it to the other VMs without waiting for the next
// heartbeat.
func (s *Service) replicate(ctx context.Context, before Document, ifVersion Version, after Document, version Version) {
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

// conditionalWrite is one conditional update. If its outcome is unknown, it is resolved with up to
// resolveAttempts attempts.
type conditionalWrite struct {
	service  *Service
	doc      Document
	base     storedDocument
	revision Revision
}

func (w conditionalWrite) run(ctx context.Context) (Version, error) {
	value, err := w.encode()
	if err != nil {
		return 0, err
	}
	store, ifVersion := w.service.opts.Store, uint64(w.revision.Base)
	version, err := store.Put(ctx, ObjectName, value, ifVersion)
	if err == nil {
		return Version(version), nil
	}
	if !outcomeUncertain(err) {
		return 0, fault.Wrap(err, fault.KindOf(err), "correct the cause named in the message, then apply the change to the current version", "the configuration was not changed")
	}
	for range resolveAttempts {
		version, resolved, err := w.resolve(ctx, value)
		if resolved {
			return version, err
		}
		if !clock.Sleep(ctx, resolveInterval) {
			break
		}
	}
	return 0, fault.Wrap(err, fault.OutcomeUnknown, "when the platform is available, look for nonce "+w.revision.Nonce+" in the history",
		"the configuration may have been changed", fault.WithExecution(fault.ExecutionUnknown))
}

func outcomeUncertain(err error) bool {
	return fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Timeout) || fault.Is(err, fault.Internal)
}

// resolve finds out whether the write took effect. Reading the base version back proves nothing,
// because the write may still be in flight. In that case resolve repeats the write with the same
// value and condition, as at most one of the two can take effect.
func (w conditionalWrite) resolve(ctx context.Context, value []byte) (version Version, resolved bool, err error) {
	store := w.service.opts.Store
	obj, err := store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		obj, err = objectstore.Object{}, nil
	}
	if err != nil {
		return 0, false, err
	}
	if Version(obj.Version) != w.revision.Base {
		return w.resolveFromHistory(obj)
	}
	v, err := store.Put(ctx, ObjectName, value, uint64(w.revision.Base))
	if err != nil {
		return 0, false, err
	}
	return Version(v), true, nil
}

// resolveFromHistory finds the write that replaced the base version, using the revisions stored in a
// later version of the object.
func (w conditionalWrite) resolveFromHistory(obj objectstore.Object) (version Version, resolved bool, err error) {
	st, err := decodeStoredDocument(obj.Value)
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

func (w conditionalWrite) encode() ([]byte, error) {
	revisions := append(slices.Clone(w.base.Revisions), w.revision)
	revisions = revisions[max(0, len(revisions)-MaxRevisions):]
	for {
		value, err := json.Marshal(storedDocument{Document: w.doc, Revisions: revisions})
		if err != nil {
			return nil, fault.Wrap(err, fault.Malformed, "remove values that JSON cannot represent", "configuration")
		}
		if len(value) <= objectstore.MaxValueBytes {
			return value, nil
		}
		if len(revisions) <= 1 {
			return nil, fault.New(fault.TooLarge, "remove unused objects or shorten names", "the configuration exceeds the size limit of one object")
		}
		revisions = revisions[len(revisions)/2:]
	}
}

// History returns the latest accepted changes, oldest first, at most MaxRevisions of them. They are
// stored in the same object as the document, so the list has no gaps. If the object becomes too
// large, the older half of the changes is dropped.
func (s *Service) History(ctx context.Context) ([]Revision, error) {
	obj, err := s.opts.Store.Get(ctx, ObjectName)
	if fault.Is(err, fault.NotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.KindOf(err), "try again when the platform is available", "read configuration history")
	}
	st, err := decodeStoredDocument(obj.Value)
	if err != nil {
		return nil, err
	}
	return st.Revisions, nil
}
