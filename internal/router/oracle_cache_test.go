package router

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/tidwall/redcon"

	"marlstage/internal/faulttest"
	"marlstage/internal/resp"
)

// oracleCache is a cache server that reports each attempt to the oracle and answers with a value
// that names the request.
type oracleCache struct {
	name   string
	oracle *oracle
	ln     net.Listener
	// answer chooses the answer to the given attempt of a request, counted over all caches from 0.
	answer func(id string, attempt int) cacheAnswer
}

// cacheAnswer is how a cache answers an attempt.
type cacheAnswer struct {
	wire  string          // empty if the cache closes the connection instead
	after <-chan struct{} // if not nil, closed when the answer is to be given
}

// servedWire is the answer of a cache that serves the request.
func servedWire(id string) string {
	value := servedValue(id)
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// newOracleCache runs a cache until the test is over.
func newOracleCache(t *testing.T, o *oracle, name string, answer func(id string, attempt int) cacheAnswer) *oracleCache {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	c := &oracleCache{name: name, oracle: o, ln: ln, answer: answer}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			go c.serve(nc)
		}
	}()
	return c
}

func (c *oracleCache) addr() string { return c.ln.Addr().String() }

// serve answers the commands of a connection until that ends.
func (c *oracleCache) serve(nc net.Conn) {
	defer nc.Close()
	reader := redcon.NewReader(nc)
	for index := 0; ; index++ {
		cmd, err := reader.ReadCommand()
		if err != nil {
			return
		}
		if len(cmd.Args) <= resp.OptionsArgument {
			return
		}
		id := string(cmd.Args[resp.IDArgument])
		answer := c.answer(id, c.oracle.attemptsOf(id))
		c.oracle.attemptArrived(oracleAttempt{
			id:         id,
			cache:      c.name,
			upstream:   upstreamKey(nc.RemoteAddr(), nc.LocalAddr()),
			index:      index,
			timeout:    faulttest.ToldTimeout(string(cmd.Args[resp.OptionsArgument])),
			mayHaveRun: !strings.HasPrefix(answer.wire, "-BUSY"),
		})
		if answer.after != nil {
			<-answer.after
		}
		if _, err := io.WriteString(nc, answer.wire); err != nil || answer.wire == "" {
			return
		}
	}
}

// attemptsOf returns how many attempts of a request have arrived.
func (o *oracle) attemptsOf(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempts := 0
	for _, a := range o.attempts {
		if a.id == id {
			attempts++
		}
	}
	return attempts
}
