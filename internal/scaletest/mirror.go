package scaletest

// This file implements the sockets that repeat the traffic of simulated connections.

import (
	"net"
	"time"
)

const mirrorDialTimeout = 5 * time.Second

// mirroredMessage is what a simulated connection carried.
type mirroredMessage struct {
	bytes       []byte
	sentAt      time.Time
	healthCheck bool
}

// mirror repeats on a socket what a simulated connection does, with a delay: for the hollow router
// itself, or for another router of the fleet that is not simulated.
func (f *Fleet) mirror(addr string, openedAt time.Time, delay time.Duration, messages <-chan mirroredMessage) {
	time.Sleep(time.Until(openedAt.Add(delay)))
	nc, err := net.DialTimeout("tcp", addr, mirrorDialTimeout)
	if err == nil {
		defer nc.Close()
		f.locked(func() { f.mirrored.add(CacheCount{Handshakes: 1, OpenConns: 1}) })
		defer f.locked(func() { f.mirrored.OpenConns-- })
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
		// Without a reset, so many connections would hold their ports for a minute. If it fails, they do.
		_ = nc.(*net.TCPConn).SetLinger(0)
	}
}

func (f *Fleet) countMirrored(message mirroredMessage, err error) {
	f.locked(func() {
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
