package router

import "log"

const logQueueSize = 256 // lines that wait for the log writer before further ones are dropped

// log queues a line for the log writer. It drops the line if the queue is full: a log that nobody
// reads must not block the event loop.
func (l *eventLoop) log(line string) {
	select {
	case l.logLines <- line:
	default:
	}
}

// writeLog writes the queued lines until the loop has ended.
func (l *eventLoop) writeLog() {
	for {
		select {
		case line := <-l.logLines:
			log.Print(line)
		case <-l.done:
			return
		}
	}
}
