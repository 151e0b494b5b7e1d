package scaletest

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
)

// TestCacheServersReplyAndCount checks the addresses of the cache servers, their replies, the limit of
// connections, and that the traffic of each group of routers is counted separately.
func TestCacheServersReplyAndCount(t *testing.T) {
	servers := startTestCacheServers(t, CacheServersSpec{First: 249, Count: 2, Groups: 2, MaxConns: 2, IdleTimeout: time.Minute})
	if a, b := servers.Addrs[0][0], servers.Addrs[1][0]; !strings.HasPrefix(a, "127.77.0.250:") || !strings.HasPrefix(b, "127.77.1.1:") {
		t.Errorf("addresses %s and %s", a, b)
	}
	first, second := dialCacheServer(t, servers.Addrs[0][0]), dialCacheServer(t, servers.Addrs[0][1])
	attemptBytes := exchangeReadAndWrite(t, first)
	for _, nc := range []net.Conn{first, second} {
		if reply := exchange(t, nc, resp.AppendCommand(nil, "PING")); string(reply.Raw) != "+PONG\r\n" {
			t.Errorf("PING: %q", reply.Raw)
		}
	}
	if reply := exchange(t, second, resp.AppendCommand(nil, "C.GET", "k")); string(reply.Raw) != "-SYNTAX\r\n" {
		t.Errorf("incomplete command: %q", reply.Raw)
	}
	if n, err := dialCacheServer(t, servers.Addrs[0][0]).Read(make([]byte, 1)); err == nil {
		t.Errorf("a connection beyond the limit read %d bytes", n)
	}
	stats := servers.Stats()
	want := CacheStats{HealthChecks: 1, Attempts: 2, Handshakes: 1, RejectedConns: 1, HealthCheckBytes: 21, AttemptBytes: int64(attemptBytes), OpenConns: 1}
	if stats[0][0] != want {
		t.Errorf("first group %+v, want %+v", stats[0][0], want)
	}
	if c := stats[0][1]; c.HealthChecks != 1 || c.Attempts != 1 || c.Handshakes != 1 || stats[1][0] != (CacheStats{}) {
		t.Errorf("second group %+v, other cache server %+v", c, stats[1][0])
	}
	first.Close()
	second.Close()
	servers.Wait()
	if stats := servers.Stats()[0]; stats[0].OpenConns+stats[1].OpenConns != 0 {
		t.Errorf("closed connections are counted as open: %+v", stats)
	}
}

// exchangeReadAndWrite sends a read and a write and returns the size of both with their replies, in bytes.
func exchangeReadAndWrite(t *testing.T, nc net.Conn) int {
	t.Helper()
	bytes := 0
	for _, write := range []bool{false, true} {
		message := requestCommand(write, 1, 2, 1000)
		reply := exchange(t, nc, message)
		bytes += len(message) + len(reply.Raw)
		if reply.Type != redcon.Array || reply.Count != 3 {
			t.Errorf("write %v: %q", write, reply.Raw)
		}
	}
	return bytes
}

func TestCacheServerClosesIdleConnections(t *testing.T) {
	servers := startTestCacheServers(t, CacheServersSpec{Count: 1, Groups: 1, MaxConns: 1, IdleTimeout: time.Millisecond})
	if n, err := dialCacheServer(t, servers.Addrs[0][0]).Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, %v", n, err)
	}
}
