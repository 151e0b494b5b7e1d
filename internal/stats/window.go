package stats

// Indexes of the two time windows for which the types in this file keep data. Rotate discards the previous
// window, so data is kept for at least the length of one window.
const (
	current  = 0
	previous = 1
)

// WindowCount counts events. Its elements are the counts in the current and in the previous window.
type WindowCount [2]int

// Add counts one event in the current window.
func (c *WindowCount) Add() { c[current]++ }

// Total returns the count over both windows.
func (c *WindowCount) Total() int { return c[current] + c[previous] }

// Rotate starts a new window and discards the previous one.
func (c *WindowCount) Rotate() { c[current], c[previous] = 0, c[current] }

// KeyCounts counts events by key. Its elements are the counts in the current and in the previous window.
type KeyCounts [2]map[uint64]int

// NewKeyCounts returns counts of zero for all keys.
func NewKeyCounts() KeyCounts { return KeyCounts{{}, {}} }

// Add counts one event for the key in the current window.
func (c *KeyCounts) Add(key uint64) { c[current][key]++ }

// AddUpTo is like Add, but does not count a new key if the current window has the given number of keys. A limit of 0
// means no limit.
func (c *KeyCounts) AddUpTo(limit int, key uint64) {
	if _, known := c[current][key]; known || limit == 0 || len(c[current]) < limit {
		c.Add(key)
	}
}

// Total returns the count of the key over both windows.
func (c *KeyCounts) Total(key uint64) int { return c[current][key] + c[previous][key] }

// Rotate starts a new window and discards the previous one.
func (c *KeyCounts) Rotate() { c[current], c[previous] = map[uint64]int{}, c[current] }

// KeySet is a set of recently added keys. Its elements are the keys added in the current and in the previous
// window.
type KeySet [2]map[uint64]bool

// NewKeySet returns an empty set.
func NewKeySet() KeySet { return KeySet{{}, {}} }

// Add adds the key in the current window.
func (s *KeySet) Add(key uint64) { s[current][key] = true }

// AddUpTo is like Add, but does not add a new key if the current window has the given number of keys. A limit of 0 means
// no limit.
func (s *KeySet) AddUpTo(limit int, key uint64) {
	if s[current][key] || limit == 0 || len(s[current]) < limit {
		s.Add(key)
	}
}

// Contains reports whether the key was added in either window.
func (s *KeySet) Contains(key uint64) bool { return s[current][key] || s[previous][key] }

// Empty reports whether no key was added in either window.
func (s *KeySet) Empty() bool { return len(s[current])+len(s[previous]) == 0 }

// Rotate starts a new window and discards the previous one. If the previous window is empty, its map is
// reused.
func (s *KeySet) Rotate() {
	if len(s[previous]) == 0 {
		s[current], s[previous] = s[previous], s[current]
		return
	}
	s[current], s[previous] = map[uint64]bool{}, s[current]
}
