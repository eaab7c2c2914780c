package membership

// SetOffset sets the configuration offset in force that each packet carries. It ignores an
// offset below the current one.
func (m *Membership) SetOffset(offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.raiseOffset(m.self, offset)
}

// ObserveOffset records an offset in force that a member has reported by other means than
// membership packets, such as a push or pull of configuration.
func (m *Membership) ObserveOffset(host string, boot, offset uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.table.get(host); e != nil && e.boot == boot {
		m.raiseOffset(e, offset)
	}
}

func (m *Membership) raiseOffset(e *entry, offset uint64) {
	if offset <= e.offset {
		return
	}
	e.offset = offset
	e.member = nil
	m.stale.Store(true)
}

// Floor returns the highest offset that any process of the host is known to have had in force, 0
// if none is known.
func (m *Membership) Floor(host string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if host == m.self.host {
		return m.self.highest()
	}
	if e := m.table.get(host); e != nil {
		return e.highest()
	}
	return 0
}

// MaxOffset returns the highest offset that any host is known to have had in force. The floor of
// a host may be known only to the daemons that it probed last; in a fleet whose daemons do not
// lag, MaxOffset is at least as high.
func (m *Membership) MaxOffset() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	highest := m.self.highest()
	for _, e := range m.table.order {
		highest = max(highest, e.highest())
	}
	return highest
}

// OnOffset sets the function that is called with the offset in each packet from a known member.
// It must be called before Run, and f must not block.
func (m *Membership) OnOffset(f OffsetFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onOffset = f
}

// recordOffset stores the sender's offset and queues it for the function set by OnOffset.
func (m *Membership) recordOffset(pkt *packet) {
	e := m.table.get(pkt.GetHost())
	if e == nil || e.boot != pkt.GetBoot() || !e.complete() {
		return
	}
	m.raiseOffset(e, pkt.GetOffset())
	m.observedOffsets = append(m.observedOffsets, observedOffset{e.host, e.info.peerAddr, pkt.GetOffset()})
}
