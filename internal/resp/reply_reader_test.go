package resp

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"

	"marlstage/policy"
)

// limitedMemory is a MemoryBudget with a limit.
type limitedMemory struct{ limit, inUse int }

func (m *limitedMemory) Acquire(bytes int) error {
	if m.inUse+bytes > m.limit {
		return ErrNoMemory
	}
	m.inUse += bytes
	return nil
}

func (m *limitedMemory) Release(bytes int) { m.inUse -= bytes }

func servedWith(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// TestReplyReaderCountsItsBuffer checks that the memory of a large value passes to the reply, and that no more than the
// value needs is acquired.
func TestReplyReaderCountsItsBuffer(t *testing.T) {
	memory := &limitedMemory{limit: maxReplySize}
	value := strings.Repeat("v", MaxValueSize)
	reader := NewReplyReader(iotest.HalfReader(strings.NewReader(servedWith(value)+servedWith("small"))), memory)
	reply, err := reader.Next()
	if err != nil || reply.Result != policy.Served || len(reply.Value) < len(value) {
		t.Fatalf("%d bytes, result %v, error %v", len(reply.Value), reply.Result, err)
	}
	if reply.Memory != memory.inUse || memory.inUse > maxReplySize {
		t.Errorf("the reply holds %d bytes, the budget counts %d", reply.Memory, memory.inUse)
	}
	memory.Release(reply.Memory)
	if reply, err = reader.Next(); err != nil || string(reply.Value) != "$5\r\nsmall\r\n" || reply.Memory != 0 {
		t.Errorf("%q holds %d bytes, error %v", reply.Value, reply.Memory, err)
	}
	reader.Close()
	if memory.inUse != 0 {
		t.Errorf("%d bytes are in use at the end", memory.inUse)
	}
}

// TestReplyReaderSkipsValuesWithoutMemory guards against a connection that waits for the memory of a value: the value is
// skipped, however it is cut, and the replies behind it are read.
func TestReplyReaderSkipsValuesWithoutMemory(t *testing.T) {
	for _, limit := range []int{0, 5000, 30_000} {
		memory := &limitedMemory{limit: limit}
		wire := servedWith(strings.Repeat("v", MaxValueSize)) + servedWith("small")
		reader := NewReplyReader(iotest.HalfReader(strings.NewReader(wire)), memory)
		reply, err := reader.Next()
		if err != nil || !reply.Lost || string(reply.Value) != FailedReply || reply.Memory != 0 {
			t.Fatalf("limit %d: %+v, error %v", limit, reply, err)
		}
		if reply, err = reader.Next(); err != nil || reply.Lost || string(reply.Value) != "$5\r\nsmall\r\n" {
			t.Errorf("limit %d, behind the value: %+v, error %v", limit, reply, err)
		}
		reader.Close()
		if memory.inUse != 0 {
			t.Errorf("limit %d: %d bytes are in use at the end", limit, memory.inUse)
		}
	}
}

// TestReplyReaderReleasesIncompleteReplies checks that nothing is held for a reply that does not end.
func TestReplyReaderReleasesIncompleteReplies(t *testing.T) {
	memory := &limitedMemory{limit: maxReplySize}
	wire := servedWith(strings.Repeat("v", MaxValueSize))
	reader := NewReplyReader(strings.NewReader(wire[:len(wire)-20_000]), memory)
	if _, err := reader.Next(); err == nil || errors.Is(err, ErrNoMemory) {
		t.Errorf("error %v", err)
	}
	reader.Close()
	if memory.inUse != 0 {
		t.Errorf("%d bytes are in use at the end", memory.inUse)
	}
}

// TestReplyParserWorkGrowsWithTheBytes guards against parsing a reply again from its first byte after each read.
func TestReplyParserWorkGrowsWithTheBytes(t *testing.T) {
	element := "*16\r\n" + strings.Repeat("*16\r\n"+strings.Repeat(":1\r\n", 16), 16)
	wire := []byte("*16\r\n" + strings.Repeat(element, 16))
	var parser replyParser
	steps := 0
	for received := 1; received <= len(wire); received++ {
		before := parser.parsed
		size, err := parser.next(wire[:received])
		if err != nil || size > 0 != (received == len(wire)) {
			t.Fatalf("%d of %d bytes: size %d, %v", received, len(wire), size, err)
		}
		if size == 0 && parser.parsed < before {
			t.Fatalf("%d bytes: the parser went back from %d to %d", received, before, parser.parsed)
		}
		steps++
	}
	if steps != len(wire) {
		t.Errorf("%d steps", steps)
	}
}
