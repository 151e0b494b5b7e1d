package fleetscale

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

// How long a cache server works on a request. Both are means; a hit is exponential.
const (
	hitTime   = time.Millisecond
	missTime  = 20 * time.Millisecond
	missShare = .08
	valueSize = 512 // bytes of a value
)

// workTime is how long one request takes, and whether the cache server has to fetch for it.
func workTime() (time.Duration, bool) {
	if rand.Float64() < missShare {
		return missTime, true
	}
	return time.Duration(rand.ExpFloat64() * float64(hitTime)), false
}

// Caches are stand-ins of cache servers in one process. Each has an address of its own, and one
// port for each view: the routers of one view see the cache server there, so they can be told apart.
type Caches struct {
	Addrs   [][]string // by cache server and view
	servers []*cacheServer
	set     CachesSpec
	conns   sync.WaitGroup
}

// CachesSpec says what the stand-ins are.
type CachesSpec struct {
	First, Count, Views int
	MostConns           int64         // connections that one holds; more are closed at once
	Idle                time.Duration // after which one closes a connection
}

// CacheCount is what one cache server got from the routers of one view. Bytes are those of the
// commands and their answers, without TCP's own.
type CacheCount struct {
	Probes, Attempts, Handshakes, TurnedAway int64
	ProbeBytes, AttemptBytes                 int64
	Open, MostOpen                           int64 // connections; MostOpen is over all views
}

type cacheServer struct {
	views      []*cacheView
	open, most atomic.Int64
}

type cacheView struct {
	ln                                                                   net.Listener
	probes, attempts, handshakes, turned, probeBytes, attemptBytes, open atomic.Int64
}

// CacheAddress is where a cache server of the address plan listens.
func CacheAddress(n int) string { return fmt.Sprintf("127.77.%d.%d", n/250, 1+n%250) }

// mostCaches is how many the address plan holds.
const mostCaches = 8 * 250

// StartCaches has the cache servers listen, on ports that are free.
func StartCaches(s CachesSpec) (*Caches, error) {
	c := &Caches{set: s}
	for i := range s.Count {
		srv := &cacheServer{}
		var addrs []string
		for range s.Views {
			ln, err := net.Listen("tcp", CacheAddress(s.First+i)+":0")
			if err != nil {
				c.Close()
				return nil, err
			}
			v := &cacheView{ln: ln}
			srv.views, addrs = append(srv.views, v), append(addrs, ln.Addr().String())
			go c.accept(srv, v)
		}
		c.servers, c.Addrs = append(c.servers, srv), append(c.Addrs, addrs)
	}
	return c, nil
}

func (c *Caches) accept(srv *cacheServer, v *cacheView) {
	for {
		nc, err := v.ln.Accept()
		if err != nil {
			return
		}
		n := srv.open.Add(1)
		if n > c.set.MostConns {
			srv.open.Add(-1)
			v.turned.Add(1)
			nc.Close()
			continue
		}
		for m := srv.most.Load(); n > m && !srv.most.CompareAndSwap(m, n); m = srv.most.Load() {
		}
		v.handshakes.Add(1)
		v.open.Add(1)
		c.conns.Go(func() {
			c.serve(nc, v)
			nc.Close()
			v.open.Add(-1)
			srv.open.Add(-1)
		})
	}
}

var (
	value     = strings.Repeat("v", valueSize)
	load      = "fail_rate=0,rate=1000,busy=0.40"
	pong      = redcon.AppendString(nil, "PONG")
	hitReply  = command(value, "hit", load)
	missReply = command(value, "miss", load)
)

// serve answers the commands of one connection, one behind the other.
func (c *Caches) serve(nc net.Conn, v *cacheView) {
	r := redcon.NewReader(nc)
	for {
		if err := nc.SetReadDeadline(time.Now().Add(c.set.Idle)); err != nil {
			return
		}
		cmd, err := r.ReadCommand()
		if err != nil {
			return
		}
		answer, messages, bytes := []byte("-ERR unknown command\r\n"), (*atomic.Int64)(nil), &v.attemptBytes
		switch word := strings.ToUpper(string(cmd.Args[0])); {
		case word == "PING":
			answer, messages, bytes = pong, &v.probes, &v.probeBytes
		case word == "C.GET" && len(cmd.Args) == 4, word == "C.SET" && len(cmd.Args) == 5:
			work, miss := workTime()
			if answer, messages = hitReply, &v.attempts; miss {
				answer = missReply
			}
			time.Sleep(work)
		case word == "C.GET" || word == "C.SET":
			answer = []byte("-SYNTAX\r\n")
		}
		if messages != nil {
			messages.Add(1)
		}
		bytes.Add(int64(len(cmd.Raw) + len(answer)))
		if _, err := nc.Write(answer); err != nil {
			return
		}
	}
}

// Count is what each cache server got so far, by cache server and view.
func (c *Caches) Count() [][]CacheCount {
	var all [][]CacheCount
	for _, srv := range c.servers {
		var views []CacheCount
		for _, v := range srv.views {
			views = append(views, CacheCount{v.probes.Load(), v.attempts.Load(), v.handshakes.Load(), v.turned.Load(),
				v.probeBytes.Load(), v.attemptBytes.Load(), v.open.Load(), srv.most.Load()})
		}
		all = append(all, views)
	}
	return all
}

// Close takes no more connections.
func (c *Caches) Close() {
	for _, srv := range c.servers {
		for _, v := range srv.views {
			v.ln.Close()
		}
	}
}

// Wait waits until every connection has ended: the counts are whole then.
func (c *Caches) Wait() { c.conns.Wait() }
