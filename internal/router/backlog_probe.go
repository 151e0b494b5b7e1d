package router

import "os"

// backlogProbe tells when the process has caught up with what arrived before a moment: a byte in a pipe
// becomes readable behind it, and its reader is woken like the readers of all connections.
type backlogProbe struct {
	reader, writer *os.File
}

// newBacklogProbe returns a probe that calls returned, in a goroutine of its own, for each send. It returns nil
// where the system has no pipe to give.
func newBacklogProbe(returned func()) *backlogProbe {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil
	}
	p := &backlogProbe{reader, writer}
	go p.run(returned)
	return p
}

func (p *backlogProbe) run(returned func()) {
	buf := make([]byte, 1)
	for {
		if _, err := p.reader.Read(buf); err != nil {
			return // closed
		}
		returned()
	}
}

// send sends the probe, and reports whether that was possible.
func (p *backlogProbe) send() bool {
	_, err := p.writer.Write([]byte{0})
	return err == nil
}

// close ends the probe.
func (p *backlogProbe) close() {
	_ = p.writer.Close() // nothing could be done about an error
	_ = p.reader.Close()
}
