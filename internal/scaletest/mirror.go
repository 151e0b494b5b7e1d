package scaletest

// This file repeats the traffic of simulated connections on sockets.

import (
	"net"
	"time"
)

const mirrorDialTimeout = 5 * time.Second

// mirroredMessage is a command that a simulated connection has carried.
type mirroredMessage struct {
	bytes       []byte
	sentAt      time.Time
	healthCheck bool
}

// mirror repeats the traffic of a simulated connection on a socket after a delay, either for the hollow
// router itself or for a router of the fleet that it represents.
func (f *Fleet) mirror(addr string, openedAt time.Time, delay time.Duration, messages <-chan mirroredMessage) {
	time.Sleep(time.Until(openedAt.Add(delay)))
	nc, err := net.DialTimeout("tcp", addr, mirrorDialTimeout)
	if err == nil {
		defer nc.Close()
		f.withLock(func() { f.mirrored.add(CacheStats{Handshakes: 1, OpenConns: 1}) })
		defer f.withLock(func() { f.mirrored.OpenConns-- })
	}
	replyBuffer := make([]byte, replySize)
	for message := range messages {
		time.Sleep(time.Until(message.sentAt.Add(delay)))
		if err == nil {
			_, err = roundTrip(nc, message.bytes, replyBuffer)
		}
		f.countMirrored(message, err)
	}
	if err == nil {
		// Close with a reset: otherwise the ports of the many connections would stay in TIME_WAIT for a
		// minute. The error is ignored, as nothing else depends on it.
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
}

func (f *Fleet) countMirrored(message mirroredMessage, err error) {
	f.withLock(func() {
		switch {
		case err != nil:
			f.mirrorFailures++
		case message.healthCheck:
			f.mirrored.HealthChecks++
		default:
			f.mirrored.Attempts++
		}
	})
}
