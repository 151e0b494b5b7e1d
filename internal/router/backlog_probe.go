package router

import (
	"os"
	"runtime"
)

// probeYields is how often the probe's goroutine lets others run before the probe returns. In 61 turns of the
// scheduler one prefers a goroutine that has yielded to those that have just become ready, and a poll of the runtime
// makes up to 128 ready.
const probeYields = 4

// backlogProbe shows when the process has read what arrived before a given time. It writes a byte to a pipe.
// The byte becomes readable after the data that arrived earlier. The runtime wakes the pipe's reader in the same way
// as the readers of connections, though not in the order of arrival, so the pipe's reader then lets them run first.
type backlogProbe struct {
	reader, writer *os.File
}

// newBacklogProbe returns a probe that calls onReturn, in a separate goroutine, once for each send. It
// returns nil if the system can't create a pipe.
func newBacklogProbe(onReturn func()) *backlogProbe {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil
	}
	p := &backlogProbe{reader, writer}
	go p.run(onReturn)
	return p
}

func (p *backlogProbe) run(onReturn func()) {
	buf := make([]byte, 1)
	for {
		if _, err := p.reader.Read(buf); err != nil {
			return // the probe is closed
		}
		for range probeYields {
			runtime.Gosched()
		}
		onReturn()
	}
}

// send writes a byte to the pipe and reports whether that succeeded.
func (p *backlogProbe) send() bool {
	_, err := p.writer.Write([]byte{0})
	return err == nil
}

// close closes the pipe, which ends the probe's goroutine.
func (p *backlogProbe) close() {
	_ = p.writer.Close() // an error can't be handled
	_ = p.reader.Close()
}
