package scaletest

import (
	"net"
	"slices"
	"time"

	"marlstage/policy"
)

// restTime is the microseconds between an answer on a connection and its next request, as in the
// router. A connection of a hollow router comes up at once, and a probe is answered in pongTime.
const (
	restTime = 10_000
	pongTime = 100 * time.Microsecond
)

// link is what one hollow router has to one cache server: its connections, kept as a router keeps
// them. The cache server's part is played here; where sockets are opened, these do the same.
type link struct {
	h          *hollow
	cache      int // its place on the list
	name, addr string
	opened     bool
	up         bool // the list says that it may be sent new work
	armed      bool // a timer is set for when a connection has rested
	most       int
	idle       []*conn // the one used last stands last
	waiting    []*try  // for a connection
	tally      CacheCount
}

// try is one attempt of a request, or a probe where it has none.
type try struct {
	request              *request
	number               int
	link                 *link
	sent, stopAt, sendBy policy.Time
	conn                 *conn // once it is sent
	over                 bool
}

type conn struct {
	link      *link
	idleSince policy.Time
	try       *try
	closed    bool
	mirrors   []chan message
}

func (l *link) send(t *try) {
	h := l.h
	h.tries++
	h.at(t.stopAt, func() { t.giveUp(policy.TimedOut) })
	l.waiting = append(l.waiting, t)
	l.pump()
	if t.conn == nil && !t.over {
		h.at(t.sent+h.f.transport.DialTimeout, func() {
			switch {
			case t.conn != nil:
			case l.tally.Conns == 0:
				t.end(policy.NotSent, false) // no descriptor was left
			default:
				t.end(policy.ConnectFailed, false)
			}
		})
	}
}

// pump gives connections to what waits for one.
func (l *link) pump() {
	h := l.h
	l.closeIdle(h.now - h.f.transport.Keepalive*3/4)
	if !l.up {
		l.closeIdle(h.now)
	}
	for len(l.waiting) > 0 {
		t := l.waiting[0]
		if !l.up || h.now >= t.stopAt || t.sendBy != 0 && h.now >= t.sendBy {
			t.end(policy.NotSent, false)
			continue
		}
		c := l.conn()
		if c == nil {
			return
		}
		l.waiting = l.waiting[1:]
		c.carry(t)
	}
}

// conn is the idle connection used last of those that have rested, or a new one, or none.
func (l *link) conn() *conn {
	h := l.h
	for i := len(l.idle) - 1; i >= 0; i-- {
		if c := l.idle[i]; c.idleSince+restTime <= h.now {
			l.idle = slices.Delete(l.idle, i, i+1)
			return c
		}
	}
	if len(l.idle) < len(l.waiting) && l.tally.Conns < int64(l.most) && h.descriptor() {
		l.tally.Conns++
		l.tally.Handshakes++
		c := &conn{link: l}
		if l.opened {
			for _, behind := range h.behind {
				todo := make(chan message, 64)
				c.mirrors = append(c.mirrors, todo)
				start := time.Now()
				h.f.mirrors.Go(func() { h.f.mirror(l.addr, start, behind, todo) })
			}
		}
		return c
	}
	if len(l.idle) > 0 && !l.armed {
		l.armed = true
		h.at(l.idle[0].idleSince+restTime, func() {
			l.armed = false
			l.pump()
		})
	}
	return nil
}

// descriptor takes one for a connection: that of the one idle for longest where none is left.
func (h *hollow) descriptor() bool {
	if h.conns >= h.most {
		var oldest *link
		for _, l := range h.links {
			if len(l.idle) > 0 && (oldest == nil || l.idle[0].idleSince < oldest.idle[0].idleSince) {
				oldest = l
			}
		}
		if oldest == nil {
			h.starved = true
			return false
		}
		c := oldest.idle[0]
		oldest.idle = slices.Delete(oldest.idle, 0, 1)
		c.close()
	}
	h.conns++
	return true
}

// carry sends a try, which is answered after the time of the cache server's work.
func (c *conn) carry(t *try) {
	l, h := c.link, c.link.h
	c.try, t.conn = t, c
	took, miss, m := pongTime, false, message{at: time.Now(), probe: t.request == nil}
	if q := t.request; q == nil {
		l.tally.Probes++
		m.bytes = command("PING")
	} else {
		l.tally.Attempts++
		took, miss = workTime()
		if l.opened {
			m.bytes = requestOf(q.write, q.key, uint64(q.id), (t.stopAt-h.now)/1000)
		}
	}
	for _, todo := range c.mirrors {
		select {
		case todo <- m:
		default:
			h.f.locked(func() { h.f.lost++ })
		}
	}
	h.at(h.now+took.Microseconds(), func() {
		if c.try == t {
			t.end(policy.Served, miss)
			c.idleSince = h.now
			l.idle = append(l.idle, c)
			l.pump()
		}
	})
}

func (c *conn) close() {
	h := c.link.h
	c.closed = true
	for _, todo := range c.mirrors {
		close(todo)
	}
	c.link.tally.Conns--
	h.conns--
	if h.starved {
		h.starved = false
		h.at(h.now, func() {
			for _, l := range h.links {
				l.pump()
			}
		})
	}
}

func (l *link) closeIdle(since policy.Time) {
	l.idle = slices.DeleteFunc(l.idle, func(c *conn) bool {
		if c.idleSince <= since {
			c.close()
		}
		return c.closed
	})
}

// giveUp ends the wait on a try. One that was sent takes its connection with it.
func (t *try) giveUp(why policy.Result) {
	switch {
	case t.over:
	case t.conn == nil:
		t.end(policy.NotSent, false)
	default:
		t.conn.close()
		t.end(why, false)
		t.link.pump()
	}
}

func (t *try) end(result policy.Result, miss bool) {
	if t.over {
		return
	}
	t.over = true
	if t.conn != nil {
		t.conn.try = nil
	} else if i := slices.Index(t.link.waiting, t); i >= 0 {
		t.link.waiting = slices.Delete(t.link.waiting, i, i+1)
	}
	t.link.h.ended(t, result, miss)
}

// message is what a connection carried, for its mirrors.
type message struct {
	bytes []byte
	at    time.Time
	probe bool
}

// mirror does on a socket what a connection of a hollow router does, so long behind it: for the
// hollow router itself, or for another router of the fleet that is not played.
func (f *Fleet) mirror(addr string, start time.Time, behind time.Duration, todo <-chan message) {
	time.Sleep(time.Until(start.Add(behind)))
	nc, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err == nil {
		defer nc.Close()
		f.locked(func() { f.sockets.add(CacheCount{Handshakes: 1, Conns: 1}) })
		defer f.locked(func() { f.sockets.Conns-- })
	}
	buf := make([]byte, replySize)
	for m := range todo {
		time.Sleep(time.Until(m.at.Add(behind)))
		if err == nil {
			if _, err = nc.Write(m.bytes); err == nil {
				_, err = readReply(nc, buf)
			}
		}
		f.locked(func() {
			switch {
			case err != nil:
				f.lost++
			case m.probe:
				f.sockets.Probes++
			default:
				f.sockets.Attempts++
			}
		})
	}
	if err == nil {
		nc.(*net.TCPConn).SetLinger(0) // else so many connections hold their ports for a minute
	}
}
