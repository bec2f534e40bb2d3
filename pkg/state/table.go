package state

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// table is a mutable table over a persistent radix tree. Freezing it takes
// constant time; later writes copy only the nodes on their path.
type table[T any] struct {
	txn *iradix.Txn[T]
}

func newTable[T any]() table[T] {
	return table[T]{txn: iradix.New[T]().Txn()}
}

func (t *table[T]) get(key string) (T, bool) { return t.txn.Get([]byte(key)) }
func (t *table[T]) set(key string, value T)  { t.txn.Insert([]byte(key), value) }
func (t *table[T]) delete(key string)        { t.txn.Delete([]byte(key)) }

// freeze returns the current content as an immutable tree.
func (t *table[T]) freeze() *iradix.Tree[T] { return t.txn.CommitOnly() }

// hasPrefix reports whether any key starts with the prefix.
func (t *table[T]) hasPrefix(prefix string) bool {
	iterator := t.txn.Root().Iterator()
	iterator.SeekPrefix([]byte(prefix))
	_, _, ok := iterator.Next()
	return ok
}

// lookup reads one entry of an immutable tree.
func lookup[T any](tree *iradix.Tree[T], key string) (T, bool) { return tree.Get([]byte(key)) }

// values lists the values of the keys with a prefix, in key order.
func values[T any](tree *iradix.Tree[T], prefix string) []T {
	var found []T
	if prefix == "" {
		found = make([]T, 0, tree.Len())
	}
	tree.Root().WalkPrefix([]byte(prefix), func(_ []byte, v T) bool {
		found = append(found, v)
		return false
	})
	return found
}

// forEach calls a function for each entry of an immutable tree, in key order.
func forEach[T any](tree *iradix.Tree[T], call func(key string, value T)) {
	tree.Root().Walk(func(k []byte, v T) bool {
		call(string(k), v)
		return false
	})
}
