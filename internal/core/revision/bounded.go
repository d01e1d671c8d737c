package revision

import "github.com/cicadacove/cicadacove/internal/codec"

// bounded is a list that is limited by the number of its items and by their
// encoded size. It drops the oldest items, so that snapshots stay small.
type bounded[T any] struct {
	items []T
	sizes []int
	bytes int
}

// newBounded returns a list of the given items.
func newBounded[T any](items []T) bounded[T] {
	b := bounded[T]{items: items, sizes: make([]int, len(items))}
	for i := range items {
		b.sizes[i] = sizeOf(items[i])
		b.bytes += b.sizes[i]
	}
	return b
}

// add appends an item. If the list then exceeds maxItems or maxBytes, add drops
// the oldest items until at most keepItems and maxBytes are left. The new item
// is always kept. add reports whether it dropped items.
func (b *bounded[T]) add(item T, maxItems, keepItems, maxBytes int) (dropped bool) {
	size := sizeOf(item)
	b.items = append(b.items, item)
	b.sizes = append(b.sizes, size)
	b.bytes += size
	if len(b.items) <= maxItems && b.bytes <= maxBytes {
		return false
	}
	first := 0
	for first < len(b.items)-1 && (len(b.items)-first > keepItems || b.bytes > maxBytes) {
		b.bytes -= b.sizes[first]
		first++
	}
	b.items = append([]T(nil), b.items[first:]...)
	b.sizes = append([]int(nil), b.sizes[first:]...)
	return first > 0
}

func sizeOf(v any) int { return len(codec.Marshal(v)) }
