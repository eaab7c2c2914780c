package membership

import (
	"container/heap"
)

// maxSkips bounds how many updates that do not fit are tried while a packet is filled.
const maxSkips = 4

// update is a change to the entry of one host that is queued for sending.
type update struct {
	host string
	// full reports whether the update includes the info as well as the state.
	full bool
	// urgent updates do not wait for the next gossip round.
	urgent    bool
	transmits int
	// seq orders updates by age, the newest highest.
	seq   uint64
	data  []byte
	index int
}

// queue holds the updates to gossip: at most one per host, so that it is never larger than the
// table. Updates that were sent the fewest times go first.
type queue struct {
	byHost  map[string]*update
	updates updateHeap
	seq     uint64
}

func newQueue() *queue { return &queue{byHost: make(map[string]*update)} }

func (q *queue) len() int { return len(q.updates) }

// add queues an update of a host in place of an older one.
func (q *queue) add(host string, full, urgent bool) {
	q.seq++
	u, ok := q.byHost[host]
	if !ok {
		u = &update{host: host, full: full, urgent: urgent, seq: q.seq}
		q.byHost[host] = u
		heap.Push(&q.updates, u)
		return
	}
	u.full = u.full || full
	u.urgent = u.urgent || urgent
	u.transmits, u.seq, u.data = 0, q.seq, nil
	heap.Fix(&q.updates, u.index)
}

// contains reports whether an update of a host is queued.
func (q *queue) contains(host string) bool {
	_, ok := q.byHost[host]
	return ok
}

// drop removes the update of a host whose entry was removed from the table.
func (q *queue) drop(host string) {
	if u, ok := q.byHost[host]; ok {
		heap.Remove(&q.updates, u.index)
		delete(q.byHost, host)
	}
}

// urgent reports whether an urgent update has not been sent at all.
func (q *queue) urgent() bool {
	return len(q.updates) > 0 && q.updates[0].urgent && q.updates[0].transmits == 0
}

// take returns the encoded updates that fit into space bytes and counts each as sent. It removes
// an update that was sent limit times. overhead is the number of bytes that each takes besides
// its data.
func (q *queue) take(space, overhead, limit int, encode func(*update) []byte) [][]byte {
	var data [][]byte
	var taken, skipped []*update
	for len(q.updates) > 0 && len(skipped) < maxSkips {
		u := heap.Pop(&q.updates).(*update)
		if u.data == nil {
			u.data = encode(u)
		}
		if len(u.data)+overhead > space {
			skipped = append(skipped, u)
			continue
		}
		space -= len(u.data) + overhead
		data = append(data, u.data)
		u.transmits++
		taken = append(taken, u)
	}
	for _, u := range taken {
		if u.transmits >= limit {
			delete(q.byHost, u.host)
			continue
		}
		heap.Push(&q.updates, u)
	}
	for _, u := range skipped {
		heap.Push(&q.updates, u)
	}
	return data
}

// updateHeap implements heap.Interface. Updates sent the fewest times come first, then urgent ones,
// then the latest ones.
type updateHeap []*update

func (h updateHeap) Len() int { return len(h) }

func (h updateHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.transmits != b.transmits {
		return a.transmits < b.transmits
	}
	if a.urgent != b.urgent {
		return a.urgent
	}
	return a.seq > b.seq
}

func (h updateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *updateHeap) Push(x any) {
	u := x.(*update)
	u.index = len(*h)
	*h = append(*h, u)
}

// Pop implements heap.Interface.
func (h *updateHeap) Pop() any {
	old := *h
	u := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return u
}
