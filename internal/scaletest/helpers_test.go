package scaletest

import (
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"marlstage/internal/resp"
)

// testTimeout bounds each wait for an expected event. Only a failing test reaches it.
const testTimeout = 30 * time.Second

func startTestCacheServers(t *testing.T, spec CacheServersSpec) *CacheServers {
	t.Helper()
	servers, err := StartCacheServers(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	return servers
}

func startTestDiscoveryAgent(t *testing.T, addrs [][]string, groups int) *DiscoveryAgent {
	t.Helper()
	agent, err := StartDiscoveryAgent(addrs, groups)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(agent.Close)
	return agent
}

func dialCacheServer(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(testTimeout))
	return nc
}

// exchange sends a command and returns the reply with its raw bytes.
func exchange(t *testing.T, nc net.Conn, message []byte) redcon.RESP {
	t.Helper()
	if _, err := nc.Write(message); err != nil {
		t.Fatal(err)
	}
	reply, err := resp.ReadRaw(nc, make([]byte, replySize))
	if err != nil {
		t.Fatal(err)
	}
	return reply
}
