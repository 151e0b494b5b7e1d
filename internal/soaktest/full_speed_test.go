package soaktest

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"marlstage/internal/resp"
)

// fullSpeedClient is a kind of client that sends as fast as it can and reads all answers.
type fullSpeedClient struct {
	name    string
	clients int
	sound   bool                 // its requests compete with those of others for the caches
	command func(n int64) string // the n-th command
}

func fullSpeedClients() []fullSpeedClient {
	ping := string(resp.AppendPing(nil))
	return []fullSpeedClient{
		{name: "PING", clients: 1, command: func(int64) string { return ping }},
		{name: "PING on ten connections", clients: 10, command: func(int64) string { return ping }},
		{name: "new verbs", clients: 1, command: func(n int64) string {
			return string(resp.AppendCommand(nil, fmt.Sprint("VERB", n), "a"))
		}},
		{name: "new verbs on ten connections", clients: 10, command: func(n int64) string {
			return string(resp.AppendCommand(nil, fmt.Sprint("VERB", n), "a"))
		}},
		{name: "new names of classes", clients: 10, command: func(n int64) string {
			return string(resp.AppendCommand(nil, resp.VerbGet, "key", fmt.Sprint("id", n), fmt.Sprintf("c=class%d,d=800,t=t%d", n, n)))
		}},
		{name: "empty lines", clients: 10, command: func(int64) string { return "\r\n" }},
		{name: "rejected large writes", clients: 10, command: func(n int64) string {
			return string(resp.AppendCommand(nil, resp.VerbSet, "key", fmt.Sprint("id", n), "c=put,d=800", valueOfSize(resp.MaxValueSize)))
		}},
		{name: "sound requests", clients: 1, sound: true, command: func(n int64) string {
			return string(resp.AppendCommand(nil, resp.VerbGet, fmt.Sprint("key", n), fmt.Sprint("full-", n), fmt.Sprintf("c=read,d=800,t=t%d", n)))
		}},
	}
}

// TestClientsAtFullSpeed checks that clients which send small or unsound commands as fast as they can, on one or ten
// connections, do not keep others waiting. It guards against commands that the readers answer themselves, one after
// the other for as long as bytes are there, on the processor that the event loop needs as well: answers to others
// came up to 2 s late while one client sent PING.
func TestClientsAtFullSpeed(t *testing.T) {
	program := buildRouter(t)
	for _, kind := range fullSpeedClients() {
		t.Run(strings.ReplaceAll(kind.name, " ", "_"), func(t *testing.T) {
			p := newPressureTest(t, program, manyDescriptors)
			p.run(kind.name)
			p.wantNoViolation()
			if !kind.sound {
				p.wantProperClientsServed()
			}
		})
	}
}

// run sends commands on one connection until done is closed.
func (c *fullSpeedClient) run(addr string, sent *atomic.Int64, done <-chan struct{}) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return // the proper clients are served all the same
	}
	go func() {
		<-done
		_ = nc.Close() // interrupts a blocked write
	}()
	go func() { _, _ = io.Copy(io.Discard, nc) }() // until the end of the connection
	const batchSize = 16 << 10                     // bytes of one write
	for {
		var batch strings.Builder
		for batch.Len() < batchSize {
			batch.WriteString(c.command(sent.Add(1)))
		}
		if _, err := io.WriteString(nc, batch.String()); err != nil {
			return
		}
	}
}
