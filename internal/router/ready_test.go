package router

import (
	"testing"
	"time"
)

// readyTime is within how long of its start a router has to answer PING with PONG.
const readyTime = 10 * time.Second

func (c *testClient) wantReady(begun time.Time) {
	c.t.Helper()
	c.send(words("PING"))
	c.want("+PONG")
	if took := time.Since(begun); took >= readyTime {
		c.t.Errorf("ready after %v", took)
	}
}

// TestReadyBehindACrowd that came before it, whether its connections say something or nothing: none of them
// heeds the router's end of its connection.
func TestReadyBehindACrowd(t *testing.T) {
	for name, wire := range map[string]string{"silent": "", "PING": words("PING"), "half a command": "*4\r\n$5\r\nC.G"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			srv, err := New(testConfig(t, silentDiscovery(t), func(in map[string]any) {
				in["limits"].(map[string]any)["sockets"] = leastSockets
			}, host("c1", "127.0.0.1:1", "in_service")))
			if err != nil {
				t.Fatal(err)
			}
			addr := srv.ln.Addr().String()
			for range 10 * srv.sockets.mostClients {
				dial(t, addr).send(wire)
			}
			c := dial(t, addr)
			begun := time.Now()
			startServer(t, srv)
			c.wantReady(begun)
		})
	}
}
