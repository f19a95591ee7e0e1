package queue

// heap is a binary heap whose elements know their place in it, so that any
// element is removed or moved in O(log n).
type heap[T any] struct {
	items  []T
	before func(a, b T) bool
	// place notes an element's index; -1 when it leaves the heap.
	place func(item T, index int)
}

func newHeap[T any](before func(a, b T) bool, place func(T, int)) *heap[T] {
	return &heap[T]{before: before, place: place}
}

func (h *heap[T]) size() int { return len(h.items) }

// first returns the least element of a heap that is not empty.
func (h *heap[T]) first() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.place(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// remove takes out the element at index; its key is not compared again.
func (h *heap[T]) remove(index int) {
	last := len(h.items) - 1
	item := h.items[index]
	h.swap(index, last)
	var none T
	h.items[last] = none
	h.items = h.items[:last]
	if index < last {
		h.fix(index)
	}
	h.place(item, -1)
}

// fix restores the order after the element at index changed its key.
func (h *heap[T]) fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.place(h.items[i], i)
	h.place(h.items[j], j)
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) bool {
	start := i
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.items) && h.before(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return i > start
		}
		h.swap(i, least)
		i = least
	}
}
