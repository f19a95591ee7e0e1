package queue

// heap is a binary heap that tracks the index of every element, so that any
// element can be removed or moved in O(log n).
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// setIndex stores the index of an element, or -1 when it leaves the heap.
	setIndex func(item T, index int)
}

func newHeap[T any](less func(a, b T) bool, setIndex func(T, int)) *heap[T] {
	return &heap[T]{less: less, setIndex: setIndex}
}

func (h *heap[T]) size() int { return len(h.items) }

// first returns the smallest element; the heap must not be empty.
func (h *heap[T]) first() T { return h.items[0] }

func (h *heap[T]) push(item T) {
	h.items = append(h.items, item)
	h.setIndex(item, len(h.items)-1)
	h.up(len(h.items) - 1)
}

// remove removes the element at index. It does not compare that element, whose
// key may no longer be valid.
func (h *heap[T]) remove(index int) {
	last := len(h.items) - 1
	item := h.items[index]
	h.swap(index, last)
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if index < last {
		h.fix(index)
	}
	h.setIndex(item, -1)
}

// fix restores the order after the key of the element at index has changed.
func (h *heap[T]) fix(index int) {
	if !h.down(index) {
		h.up(index)
	}
}

func (h *heap[T]) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.setIndex(h.items[i], i)
	h.setIndex(h.items[j], j)
}

func (h *heap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(h.items[i], h.items[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *heap[T]) down(i int) bool {
	start := i
	for {
		smallest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(h.items) && h.less(h.items[child], h.items[smallest]) {
				smallest = child
			}
		}
		if smallest == i {
			return i > start
		}
		h.swap(i, smallest)
		i = smallest
	}
}
