package scaletest

// This file implements the simulated cache servers.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
)

// The service times and reply sizes of a cache server. The service time of a hit is distributed
// exponentially.
const (
	meanHitTime = time.Millisecond
	missTime    = 20 * time.Millisecond
	missRatio   = .08
	valueSize   = 512           // bytes
	replySize   = 2 * valueSize // upper bound, bytes
)

// serviceTime draws a random service time for a request and whether the request is a miss.
func serviceTime() (elapsed time.Duration, miss bool) {
	if rand.Float64() < missRatio {
		return missTime, true
	}
	return time.Duration(rand.ExpFloat64() * float64(meanHitTime)), false
}

// CacheServers are simulated cache servers in one process. Each has an IP address of its own and
// listens there on one port per group of routers.
type CacheServers struct {
	Addrs [][]string // by cache server and group

	spec    CacheServersSpec
	servers []*cacheServer
	conns   sync.WaitGroup
}

// CacheServersSpec configures the simulated cache servers of one process.
type CacheServersSpec struct {
	First, Count int           // first position on the endpoint list, and number of cache servers
	Groups       int           // number of groups of routers
	MaxConns     int64         // maximum number of connections per cache server; further ones are closed at once
	IdleTimeout  time.Duration // idle time after which a cache server closes a connection
}

// cacheServer is one simulated cache server.
type cacheServer struct {
	openConns atomic.Int64 // over all groups
	ports     []*cachePort
}

// cachePort is the port of a cache server for one group of routers.
type cachePort struct {
	mu       sync.Mutex
	listener net.Listener
	stats    CacheStats
}

func (p *cachePort) updateStats(update func(*CacheStats)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	update(&p.stats)
}

// Cache servers have addresses 127.77.S.N, with serversPerSubnet of them for each value of S.
const (
	serversPerSubnet = 250
	maxCacheServers  = 8 * serversPerSubnet
)

// StartCacheServers starts the cache servers on free ports.
func StartCacheServers(spec CacheServersSpec) (*CacheServers, error) {
	c := &CacheServers{spec: spec}
	for position := spec.First; position < spec.First+spec.Count; position++ {
		if err := c.startServer(position); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (c *CacheServers) startServer(position int) error {
	server := &cacheServer{}
	c.servers = append(c.servers, server)
	var addrs []string
	for range c.spec.Groups {
		addr := fmt.Sprintf("127.77.%d.%d:0", position/serversPerSubnet, 1+position%serversPerSubnet)
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		port := &cachePort{listener: listener}
		server.ports = append(server.ports, port)
		addrs = append(addrs, listener.Addr().String())
		go c.accept(server, port)
	}
	c.Addrs = append(c.Addrs, addrs)
	return nil
}

func (c *CacheServers) accept(server *cacheServer, port *cachePort) {
	for {
		nc, err := port.listener.Accept()
		if err != nil {
			return
		}
		if server.openConns.Add(1) > c.spec.MaxConns {
			server.openConns.Add(-1)
			port.updateStats(func(stats *CacheStats) { stats.RejectedConns++ })
			nc.Close()
			continue
		}
		port.updateStats(func(stats *CacheStats) {
			stats.Handshakes++
			stats.OpenConns++
		})
		c.conns.Go(func() {
			c.serve(nc, port)
			nc.Close()
			server.openConns.Add(-1)
			port.updateStats(func(stats *CacheStats) { stats.OpenConns-- })
		})
	}
}

// serve answers the commands of one connection one after the other.
func (c *CacheServers) serve(nc net.Conn, port *cachePort) {
	reader := redcon.NewReader(nc)
	for nc.SetReadDeadline(time.Now().Add(c.spec.IdleTimeout)) == nil {
		cmd, err := reader.ReadCommand()
		if err != nil {
			return
		}
		reply, healthCheck := execute(cmd)
		port.countCommand(len(cmd.Raw)+len(reply), healthCheck)
		if _, err := nc.Write(reply); err != nil {
			return
		}
	}
}

// The number of arguments of a command, including its name.
const (
	getArguments = resp.OptionsArgument + 1
	setArguments = resp.ValueArgument + 1
)

var (
	replyValue  = strings.Repeat("v", valueSize)
	loadReport  = "fail_rate=0,rate=1000,busy=0.40"
	hitReply    = resp.AppendCommand(nil, replyValue, "hit", loadReport)
	missReply   = resp.AppendCommand(nil, replyValue, "miss", loadReport)
	pongReply   = []byte(resp.PongReply)
	syntaxError = []byte("-SYNTAX\r\n")
)

// execute returns the reply to a command after its service time.
func execute(cmd redcon.Command) (reply []byte, healthCheck bool) {
	switch name := strings.ToUpper(string(cmd.Args[0])); {
	case name == resp.VerbPing:
		return pongReply, true
	case name == resp.VerbGet && len(cmd.Args) == getArguments, name == resp.VerbSet && len(cmd.Args) == setArguments:
		elapsed, miss := serviceTime()
		time.Sleep(elapsed)
		if miss {
			return missReply, false
		}
		return hitReply, false
	default:
		return syntaxError, false
	}
}

func (p *cachePort) countCommand(bytes int, healthCheck bool) {
	p.updateStats(func(stats *CacheStats) {
		if healthCheck {
			stats.HealthChecks++
			stats.HealthCheckBytes += int64(bytes)
		} else {
			stats.Attempts++
			stats.AttemptBytes += int64(bytes)
		}
	})
}

// Stats returns the traffic of each cache server so far, by cache server and group.
func (c *CacheServers) Stats() [][]CacheStats {
	all := make([][]CacheStats, len(c.servers))
	for i, server := range c.servers {
		for _, port := range server.ports {
			port.updateStats(func(stats *CacheStats) { all[i] = append(all[i], *stats) })
		}
	}
	return all
}

// Wait waits until every connection is closed.
func (c *CacheServers) Wait() { c.conns.Wait() }

// Close stops accepting connections. Open connections are not closed.
func (c *CacheServers) Close() {
	for _, server := range c.servers {
		for _, port := range server.ports {
			port.listener.Close()
		}
	}
}
