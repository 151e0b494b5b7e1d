package scaletest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"
)

// How long a cache server works on a request. A hit's time is exponential, with this mean.
const (
	hitTime   = time.Millisecond
	missTime  = 20 * time.Millisecond
	missShare = .08
	valueSize = 512 // bytes
	replySize = 2 * valueSize
)

func workTime() (took time.Duration, miss bool) {
	if rand.Float64() < missShare {
		return missTime, true
	}
	return time.Duration(rand.ExpFloat64() * float64(hitTime)), false
}

// Caches are stand-ins of cache servers in one process. Each has an address of its own, and there
// a port for each view: routers of different views are told apart by the port that they use.
type Caches struct {
	Addrs [][]string // by cache server and view

	set     CachesSpec
	servers []*cacheServer
	conns   sync.WaitGroup
}

// CachesSpec says what the stand-ins are.
type CachesSpec struct {
	First, Count, Views int
	MostConns           int64         // connections that one holds; further ones are closed at once
	Idle                time.Duration // after which one closes a connection
}

// CacheCount is what one cache server got from the routers of one view. Bytes are those of
// commands and answers, without TCP's own.
type CacheCount struct {
	Probes, Attempts, Handshakes, TurnedAway int64
	ProbeBytes, AttemptBytes                 int64
	Conns                                    int64 // open now
}

func (c *CacheCount) add(o CacheCount) {
	c.Probes, c.Attempts, c.Handshakes = c.Probes+o.Probes, c.Attempts+o.Attempts, c.Handshakes+o.Handshakes
	c.TurnedAway, c.Conns = c.TurnedAway+o.TurnedAway, c.Conns+o.Conns
	c.ProbeBytes, c.AttemptBytes = c.ProbeBytes+o.ProbeBytes, c.AttemptBytes+o.AttemptBytes
}

// since is what came since another count, with the connections that are open now.
func (c CacheCount) since(o CacheCount) CacheCount {
	return CacheCount{c.Probes - o.Probes, c.Attempts - o.Attempts, c.Handshakes - o.Handshakes, c.TurnedAway - o.TurnedAway,
		c.ProbeBytes - o.ProbeBytes, c.AttemptBytes - o.AttemptBytes, c.Conns}
}

type cacheServer struct {
	open  atomic.Int64 // connections, over all views
	views []*cacheView
}

type cacheView struct {
	mu    sync.Mutex
	ln    net.Listener
	count CacheCount
}

func (v *cacheView) add(f func(*CacheCount)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f(&v.count)
}

// The address plan: 250 cache servers for each third byte.
const (
	perByte    = 250
	mostCaches = 8 * perByte
)

// StartCaches has the cache servers listen, on free ports.
func StartCaches(s CachesSpec) (*Caches, error) {
	c := &Caches{set: s}
	for i := s.First; i < s.First+s.Count; i++ {
		srv := &cacheServer{}
		c.servers = append(c.servers, srv)
		var addrs []string
		for range s.Views {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", i/perByte, 1+i%perByte))
			if err != nil {
				c.Close()
				return nil, err
			}
			v := &cacheView{ln: ln}
			srv.views, addrs = append(srv.views, v), append(addrs, ln.Addr().String())
			go c.accept(srv, v)
		}
		c.Addrs = append(c.Addrs, addrs)
	}
	return c, nil
}

func (c *Caches) accept(srv *cacheServer, v *cacheView) {
	for {
		nc, err := v.ln.Accept()
		if err != nil {
			return
		}
		if srv.open.Add(1) > c.set.MostConns {
			srv.open.Add(-1)
			v.add(func(n *CacheCount) { n.TurnedAway++ })
			nc.Close()
			continue
		}
		v.add(func(n *CacheCount) { n.Handshakes, n.Conns = n.Handshakes+1, n.Conns+1 })
		c.conns.Go(func() {
			c.serve(nc, v)
			nc.Close()
			srv.open.Add(-1)
			v.add(func(n *CacheCount) { n.Conns-- })
		})
	}
}

var (
	value     = strings.Repeat("v", valueSize)
	load      = "fail_rate=0,rate=1000,busy=0.40"
	hitReply  = command(value, "hit", load)
	missReply = command(value, "miss", load)
)

// serve answers the commands of one connection, one behind the other.
func (c *Caches) serve(nc net.Conn, v *cacheView) {
	r := redcon.NewReader(nc)
	for nc.SetReadDeadline(time.Now().Add(c.set.Idle)) == nil {
		cmd, err := r.ReadCommand()
		if err != nil {
			return
		}
		answer, probe := []byte("-SYNTAX\r\n"), false
		switch word := strings.ToUpper(string(cmd.Args[0])); {
		case word == "PING":
			answer, probe = []byte("+PONG\r\n"), true
		case word == "C.GET" && len(cmd.Args) == 4, word == "C.SET" && len(cmd.Args) == 5:
			took, miss := workTime()
			if answer = hitReply; miss {
				answer = missReply
			}
			time.Sleep(took)
		}
		v.add(func(n *CacheCount) {
			if bytes := int64(len(cmd.Raw) + len(answer)); probe {
				n.Probes, n.ProbeBytes = n.Probes+1, n.ProbeBytes+bytes
			} else {
				n.Attempts, n.AttemptBytes = n.Attempts+1, n.AttemptBytes+bytes
			}
		})
		if _, err := nc.Write(answer); err != nil {
			return
		}
	}
}

// Count is what each cache server got so far, by cache server and view.
func (c *Caches) Count() [][]CacheCount {
	all := make([][]CacheCount, len(c.servers))
	for i, srv := range c.servers {
		for _, v := range srv.views {
			v.add(func(n *CacheCount) { all[i] = append(all[i], *n) })
		}
	}
	return all
}

// Wait waits until every connection has ended.
func (c *Caches) Wait() { c.conns.Wait() }

// Close takes no more connections.
func (c *Caches) Close() {
	for _, srv := range c.servers {
		for _, v := range srv.views {
			v.ln.Close()
		}
	}
}
