//go:build review

package lab

import (
	"bufio"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Cache is a cache server. By default it serves each request after its service time, once, with a value that
// names the request.
type Cache struct {
	Name, Addr string
	Listener   net.Listener
	Record     *Record // is told of each request that the server runs, if it is set
	Service    func() time.Duration
	// Serve answers a request in place of the default, if it is set. It is called once the last byte has come.
	Serve func(nc net.Conn, r Received) bool
	Runs  atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// Received is a request as it came to a cache server.
type Received struct {
	Verb, Key, ID, Options, Value string
	At                            time.Time
}

// StartCache starts a cache server on a free port.
func StartCache(name string) *Cache {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	c := &Cache{Name: name, Addr: ln.Addr().String(), Listener: ln}
	c.Service = func() time.Duration { return 5 * time.Millisecond }
	return c
}

// Run accepts connections.
func (c *Cache) Run() *Cache {
	go func() {
		for {
			nc, err := c.Listener.Accept()
			if err != nil {
				return
			}
			go c.serve(nc)
		}
	}()
	return c
}

// End ends the server as the end of its process would: connections are reset, and new ones are refused.
func (c *Cache) End() {
	c.Listener.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for nc := range c.conns {
		nc.(*net.TCPConn).SetLinger(0)
		nc.Close()
	}
}

func (c *Cache) note(nc net.Conn, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[net.Conn]bool{}
	}
	if open {
		c.conns[nc] = true
	} else {
		delete(c.conns, nc)
	}
}

// ValueFor is the value or the receipt that is made for a request.
func ValueFor(id string) string { return "made for " + id }

// Served is the whole reply of a cache server to a request.
func Served(value string) string { return "*3\r\n" + Bulk(value) + Bulk("hit") + "$-1\r\n" }

func (c *Cache) serve(nc net.Conn) {
	c.note(nc, true)
	defer c.note(nc, false)
	defer nc.Close()
	r := bufio.NewReaderSize(nc, 128<<10)
	for {
		words, err := ReadCommand(r)
		if err != nil {
			return
		}
		switch verb := strings.ToUpper(words[0]); {
		case verb == "PING":
			if _, err := nc.Write([]byte("+PONG\r\n")); err != nil {
				return
			}
		case verb == "C.GET" && len(words) == 4 || verb == "C.SET" && len(words) == 5:
			c.Runs.Add(1)
			in := Received{Verb: verb, Key: words[1], ID: words[2], Options: words[3], At: time.Now()}
			if len(words) == 5 {
				in.Value = words[4]
			}
			if c.Record != nil {
				c.Record.Line("%s runs %s %s %s", c.Name, in.Verb, in.ID, in.Options)
			}
			if !c.answer(nc, in) {
				return
			}
		default:
			nc.Write([]byte("-SYNTAX\r\n"))
			return
		}
	}
}

func (c *Cache) answer(nc net.Conn, in Received) bool {
	if c.Serve != nil {
		return c.Serve(nc, in)
	}
	time.Sleep(c.Service())
	_, err := nc.Write([]byte(Served(ValueFor(in.ID))))
	return err == nil
}
