package fleetscale

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"time"

	"starlingwinch/decide"
)

// As in the router.
const (
	reservedSockets = 48     // descriptors that are not for connections
	restTime        = 10_000 // microseconds between an answer on a connection and its next request
	mostDials       = 4      // connections to one cache server that come up at a time
)

// dialTime is how long a connection that is only counted takes to come up, in microseconds, and
// pongTime how long the answer to a probe on it takes.
const (
	dialTime = 200
	pongTime = 100
)

// link is what one hollow router has to one cache server: its connections, kept as the router
// keeps them. Where it is not real, they are counted and no socket is opened.
type link struct {
	h       *hollow
	cache   int // its place on the list
	name    string
	addr    string
	real    bool
	up      bool
	most    int
	conns   int
	dialing int
	idle    []*linkConn // the one used last stands last
	waiting []*try
	armed   bool
	tally   CacheTally
}

type tryState uint8

const (
	waiting tryState = iota // for a connection
	written
	over
)

// try is one attempt of a request, or a probe where it has none.
type try struct {
	request              *hollowRequest
	number               int
	link                 *link
	sent, stopAt, sendBy decide.Time
	state                tryState
	conn                 *linkConn
}

type linkConn struct {
	link      *link
	nc        net.Conn // nil where it is only counted
	idleSince decide.Time
	used      bool
	try       *try
	closed    bool
	echoes    []chan echo
}

func (l *link) setUp(up bool) {
	if l.up = up; !up {
		for len(l.waiting) > 0 {
			l.waiting[0].end(decide.NotSent, reply{})
		}
		l.closeIdle(l.h.now)
	}
}

func (l *link) send(t *try) {
	h := l.h
	h.tries++
	h.at(t.stopAt, func() { t.giveUp(decide.NoAnswer) })
	l.waiting = append(l.waiting, t)
	l.pump()
	if t.state == waiting {
		h.at(t.sent+h.f.transport.DialTimeout, func() {
			switch {
			case t.state != waiting:
			case l.conns == 0:
				t.end(decide.NotSent, reply{})
			default:
				t.end(decide.NoConnection, reply{})
			}
		})
	}
}

// pump gives idle connections to what waits, and opens more where there are too few.
func (l *link) pump() {
	h := l.h
	l.closeIdle(h.now - h.f.transport.Keepalive*3/4)
	for len(l.waiting) > 0 {
		t := l.waiting[0]
		if !l.up || h.now >= t.stopAt || t.sendBy != 0 && h.now >= t.sendBy {
			t.end(decide.NotSent, reply{})
			continue
		}
		i := len(l.idle) - 1
		for i >= 0 && l.idle[i].used && l.idle[i].idleSince+restTime > h.now {
			i--
		}
		if i < 0 {
			l.dial()
			if len(l.idle) > 0 && !l.armed {
				l.armed = true
				h.at(l.idle[0].idleSince+restTime, func() {
					l.armed = false
					l.pump()
				})
			}
			return
		}
		c := l.idle[i]
		l.idle = slices.Delete(l.idle, i, i+1)
		l.waiting = l.waiting[1:]
		c.carry(t)
	}
}

func (l *link) dial() {
	h := l.h
	for l.dialing+len(l.idle) < min(len(l.waiting), mostDials) && l.conns < l.most && h.descriptor() {
		c := &linkConn{link: l}
		l.conns++
		l.dialing++
		if !l.real {
			h.at(h.now+dialTime, func() { c.dialed(nil, nil) })
			continue
		}
		h.dials++
		go func() {
			nc, err := net.DialTimeout("tcp", l.addr, time.Duration(h.f.transport.DialTimeout)*time.Microsecond)
			h.post(func() {
				h.dials--
				c.dialed(nc, err)
			})
		}()
		for _, behind := range h.echoes {
			ops := make(chan echo, 128)
			c.echoes = append(c.echoes, ops)
			h.f.echoes.Go(func() { h.f.echo(l.addr, time.Now().Add(behind), behind, ops) })
		}
	}
}

// descriptor takes one for a connection, of the one that has been idle for longest where none is left.
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

func (c *linkConn) dialed(nc net.Conn, err error) {
	l := c.link
	switch {
	case c.closed:
		if nc != nil {
			nc.Close()
		}
	case err != nil:
		l.dialing--
		c.close()
		if len(l.waiting) > 0 {
			l.waiting[0].end(decide.NoConnection, reply{})
		}
		l.pump()
	default:
		l.tally.Handshakes++
		l.dialing--
		if c.nc = nc; nc != nil {
			go c.read()
		}
		c.free()
	}
}

// free takes back a connection that is ready for the next try.
func (c *linkConn) free() {
	l := c.link
	if !l.up || l.h.draining && len(l.waiting) == 0 {
		c.close()
		return
	}
	c.idleSince = l.h.now
	l.idle = append(l.idle, c)
	l.pump()
}

// read reads the answers on a socket.
func (c *linkConn) read() {
	r := bufio.NewReaderSize(c.nc, 1024)
	for {
		rep, err := readReply(r)
		if err != nil {
			c.link.h.post(c.broken)
			return
		}
		c.link.h.post(func() { c.answered(rep) })
	}
}

func (c *linkConn) broken() {
	l := c.link
	if i := slices.Index(l.idle, c); i >= 0 {
		l.idle = slices.Delete(l.idle, i, i+1)
	}
	c.close()
	if t := c.try; t != nil {
		t.end(decide.ConnLost, reply{})
	}
	l.pump()
}

func (c *linkConn) answered(rep reply) {
	t := c.try
	if c.closed || t == nil {
		return
	}
	result := decide.Errored
	switch {
	case rep.kind == '*' || rep.kind == '+' && t.request == nil:
		result = decide.Served
	case rep.kind == '-' && len(rep.line) >= 4 && rep.line[:4] == "BUSY":
		result = decide.Rejected
	}
	t.end(result, rep)
	c.free()
}

// carry sends a try on an idle connection.
func (c *linkConn) carry(t *try) {
	l, h := c.link, c.link.h
	c.try, c.used, t.conn, t.state = t, true, c, written
	if t.request == nil {
		l.tally.Probes++
	} else {
		l.tally.Attempts++
	}
	if c.nc == nil {
		took, rep := decide.Time(pongTime), reply{kind: '+'}
		if t.request != nil {
			work, miss := workTime()
			took, rep = work.Microseconds(), reply{kind: '*', miss: miss}
		}
		h.at(h.now+took, func() {
			if c.try == t {
				c.answered(rep)
			}
		})
		return
	}
	msg := command("PING")
	if q := t.request; q != nil {
		msg = get(q.key, strconv.FormatInt(q.id, 16), (t.stopAt-h.now)/1000)
		if q.write {
			msg = set(q.key, strconv.FormatInt(q.id, 16), (t.stopAt-h.now)/1000)
		}
	}
	for _, ops := range c.echoes {
		select {
		case ops <- echo{msg, t.request == nil, time.Now()}:
		default:
			h.f.echoesLost.Add(1)
		}
	}
	if _, err := c.nc.Write(msg); err != nil {
		c.broken()
	}
}

func (c *linkConn) close() {
	if c.closed {
		return
	}
	c.closed = true
	l, h := c.link, c.link.h
	if c.nc != nil {
		c.nc.Close()
	}
	for _, ops := range c.echoes {
		close(ops)
	}
	l.conns--
	h.conns--
	if h.starved {
		h.starved = false
		h.at(h.now, func() {
			for _, e := range h.f.known.Entries {
				h.links[e.ID].pump()
			}
		})
	}
}

func (l *link) closeIdle(since decide.Time) {
	l.idle = slices.DeleteFunc(l.idle, func(c *linkConn) bool {
		if c.idleSince <= since {
			c.close()
		}
		return c.closed
	})
}

func (t *try) giveUp(why decide.Result) {
	switch t.state {
	case waiting:
		t.end(decide.NotSent, reply{})
	case written:
		c := t.conn
		c.close()
		t.end(why, reply{})
		c.link.pump()
	}
}

func (t *try) end(result decide.Result, rep reply) {
	if t.state == over {
		return
	}
	if i := slices.Index(t.link.waiting, t); i >= 0 {
		t.link.waiting = slices.Delete(t.link.waiting, i, i+1)
	}
	t.state = over
	if t.conn != nil {
		t.conn.try, t.conn = nil, nil
	}
	t.link.h.ended(t, result, rep)
}

// echo is a message that a connection passes on for a router that it stands for.
type echo struct {
	msg   []byte
	probe bool
	at    time.Time
}

// echo does on a socket what another did, so long behind it: it stands for a router of the fleet
// that is not played.
func (f *Fleet) echo(addr string, start time.Time, behind time.Duration, ops <-chan echo) {
	defer func() {
		for range ops { // the sender must not meet a full channel for ever
		}
	}()
	time.Sleep(time.Until(start))
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		f.echoesLost.Add(1)
		return
	}
	defer nc.Close()
	f.echoDials.Add(1)
	f.echoOpenConn.Add(1)
	defer f.echoOpenConn.Add(-1)
	r := bufio.NewReaderSize(nc, 1024)
	for op := range ops {
		time.Sleep(time.Until(op.at.Add(behind)))
		if op.probe {
			f.echoProbes.Add(1)
		} else {
			f.echoAttempts.Add(1)
		}
		if _, err := nc.Write(op.msg); err != nil {
			f.echoesLost.Add(1)
			return
		}
		if _, err := readReply(r); err != nil {
			f.echoesLost.Add(1)
			return
		}
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0) // the answer is read; so many connections would use up the ports for a minute each
	}
}
