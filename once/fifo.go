package once

// fifo is a queue in a ring buffer that grows as needed.
type fifo[T any] struct {
	ring []T
	head int
	n    int
}

const minRingSize = 16

func (q *fifo[T]) len() int { return q.n }

// at returns the i-th element, counted from 0 at the head.
func (q *fifo[T]) at(i int) *T { return &q.ring[(q.head+i)&(len(q.ring)-1)] }

func (q *fifo[T]) push(v T) {
	if q.n == len(q.ring) {
		q.grow()
	}
	q.n++
	*q.at(q.n - 1) = v
}

func (q *fifo[T]) pop() T {
	p := q.at(0)
	v := *p
	var zero T
	*p = zero
	q.head = (q.head + 1) & (len(q.ring) - 1)
	q.n--
	return v
}

// grow doubles the ring. Its length is always a power of two.
func (q *fifo[T]) grow() {
	ring := make([]T, max(minRingSize, 2*len(q.ring)))
	for i := range q.n {
		ring[i] = *q.at(i)
	}
	q.ring, q.head = ring, 0
}
