package membership

import "slices"

// stateOf returns a member's state as seen by this VM.
func (m *machine) stateOf(e *entry) State {
	switch {
	case e.hasAny(FlagGone):
		return Gone
	case e.VM.Name == m.self && e.hasAny(FlagLeaving):
		return Leaving
	case e.VM.Name == m.self:
		return Alive
	case e.hasAny(FlagSuspect), e.unreachable, m.isUnreachable(e.DataCentre):
		return Suspect
	case e.hasAny(FlagLeaving):
		return Leaving
	}
	return Alive
}

func (m *machine) member(e *entry) Member {
	return Member{VM: e.VM, DataCentre: e.DataCentre, Region: e.Region, PeerAddress: m.addressOf(e), State: m.stateOf(e)}
}

func (m *machine) buildView() *View {
	v := &View{Self: m.member(m.me())}
	for _, e := range m.sorted() {
		v.Members = append(v.Members, m.member(e))
	}
	return v
}

func (m *machine) publishIfChanged() {
	if !m.viewStale {
		return
	}
	m.viewStale = false
	v := m.buildView()
	if v.Self == m.view.Self && slices.Equal(v.Members, m.view.Members) {
		return
	}
	m.view = v
	m.emit(publish{v})
}
