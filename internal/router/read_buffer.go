package router

import "bytes"

// readBuffer holds the bytes of a client that have been received and not yet handled. The memory budget counts its
// capacity beyond minReadBuffer.
type readBuffer struct {
	storage    []byte // all of the buffer
	start, end int    // what has been received and not handled is storage[start:end]
	hold       memoryHold
	// wholeHold is for the rest of a command that has been received completely by the system. Partial commands
	// can't use up the memory for it.
	wholeHold memoryHold
}

func newReadBuffer(budget *memoryBudget) readBuffer {
	return readBuffer{
		hold:      memoryHold{budget: budget, use: memoryPartialCommands},
		wholeHold: memoryHold{budget: budget, use: memoryWholeCommands},
	}
}

// unread returns the bytes that have been received and not handled.
func (b *readBuffer) unread() []byte { return b.storage[b.start:b.end] }

// len returns the number of bytes that have been received and not handled.
func (b *readBuffer) len() int { return b.end - b.start }

// free returns the part of the buffer to which received bytes can be written, of at most the given size.
func (b *readBuffer) free(size int) []byte { return b.storage[b.end:min(len(b.storage), b.end+size)] }

// space returns the size of the free part.
func (b *readBuffer) space() int { return len(b.storage) - b.end }

// received records that n bytes were written to the free part.
func (b *readBuffer) received(n int) { b.end += n }

// makeRoom makes some of the buffer free. missing is a lower bound on the number of bytes that are missing from the
// command in a full buffer. whole reports whether the system has received all of them. makeRoom returns false if the
// budget has no memory for a larger buffer.
func (b *readBuffer) makeRoom(missing int, whole bool) bool {
	switch {
	case b.end < len(b.storage):
		return true
	case b.start > 0:
		b.end = copy(b.storage, b.unread())
		b.start = 0
		return true
	case len(b.storage) == 0:
		b.storage = make([]byte, minReadBuffer)
		return true
	}
	size := len(b.storage) + max(missing, minReadBuffer)
	hold := &b.wholeHold
	if !whole {
		size = min(size, 2*len(b.storage))
		hold = &b.hold
	}
	if !hold.tryGrow(int64(size - len(b.storage))) {
		return false
	}
	b.storage = append(make([]byte, 0, size), b.storage...)[:size]
	return true
}

// consume drops the first n bytes. Once the rest fits into a buffer of the initial size, it releases the memory
// beyond that.
func (b *readBuffer) consume(n int) {
	b.start += n
	if b.start == b.end {
		b.start, b.end = 0, 0
	}
	if len(b.storage) > minReadBuffer && b.len() <= minReadBuffer {
		b.replace(b.unread())
		b.hold.release()
		b.wholeHold.release()
	}
}

// take returns the first n bytes, which the caller then owns, and drops them. If they make up most of a large buffer,
// they are not copied: the memory of the buffer moves to the given hold. Otherwise the caller must have acquired
// memory for the copy.
func (b *readBuffer) take(n int, hold *memoryHold) []byte {
	if !b.handsOver(n) {
		taken := bytes.Clone(b.unread()[:n])
		b.consume(n)
		return taken
	}
	taken := b.storage[b.start : b.start+n : b.start+n]
	b.hold.moveTo(hold)
	b.wholeHold.moveTo(hold)
	b.start += n
	b.replace(b.unread())
	b.hold.grow(int64(len(b.storage) - minReadBuffer))
	return taken
}

// handsOver reports whether take hands over the buffer instead of copying n bytes.
func (b *readBuffer) handsOver(n int) bool {
	return len(b.storage) > minReadBuffer && 2*n >= len(b.storage)
}

// replace replaces the buffer by the smallest one that holds the given content.
func (b *readBuffer) replace(content []byte) {
	b.storage = append(make([]byte, 0, max(minReadBuffer, len(content))), content...)
	b.end = len(b.storage)
	b.start = 0
	b.storage = b.storage[:cap(b.storage)]
}

// drop discards the content and releases the memory.
func (b *readBuffer) drop() {
	b.storage, b.start, b.end = nil, 0, 0
	b.hold.release()
	b.wholeHold.release()
}
