package membership

import (
	"container/heap"
)

// maxSkips bounds how many updates that do not fit are looked at while a packet
// is filled.
const maxSkips = 4

// update is news of one host on its way to the others.
type update struct {
	host string
	// full is whether the info is news as well as the state.
	full bool
	// urgent updates do not wait for the next round of gossip.
	urgent    bool
	transmits int
	// seq orders updates by age.
	seq   uint64
	data  []byte
	index int
}

// queue holds the news to pass on: at most one update for each host, so that it
// never outgrows the table. Those passed on least go first.
type queue struct {
	byHost  map[string]*update
	updates updateHeap
	seq     uint64
}

func newQueue() *queue { return &queue{byHost: make(map[string]*update)} }

func (q *queue) len() int { return len(q.updates) }

// add puts news of a host in, in place of older news.
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

// holds reports whether news of a host is still being passed on.
func (q *queue) holds(host string) bool {
	_, ok := q.byHost[host]
	return ok
}

// drop removes news of a host that was forgotten.
func (q *queue) drop(host string) {
	if u, ok := q.byHost[host]; ok {
		heap.Remove(&q.updates, u.index)
		delete(q.byHost, host)
	}
}

// urgent reports whether an urgent update has not been passed on at all.
func (q *queue) urgent() bool {
	return len(q.updates) > 0 && q.updates[0].urgent && q.updates[0].transmits == 0
}

// take returns the encoded updates that fit into space bytes, and counts each
// as passed on; after limit times it is dropped. overhead is what each costs
// besides its data.
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

// updateHeap orders updates for container/heap.
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

// Push is part of heap.Interface.
func (h *updateHeap) Push(x any) {
	u := x.(*update)
	u.index = len(*h)
	*h = append(*h, u)
}

// Pop is part of heap.Interface.
func (h *updateHeap) Pop() any {
	old := *h
	u := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return u
}
