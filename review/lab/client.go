//go:build review

package lab

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// Request is a request of a client and what became of it.
type Request struct {
	ID, Key, Class string
	Write          bool
	Wait           time.Duration // how long the client waits for the answer
	IdempotencyKey string
	Value          string

	SentAt, AnsweredAt time.Time
	Answer             string // "$" and the value, or "-" and the error
	Err                error  // the connection ended before the answer
	Done               chan struct{}
}

// NewRequest returns a request that is not sent yet.
func NewRequest(id, key, class string, wait time.Duration) *Request {
	return &Request{ID: id, Key: key, Class: class, Wait: wait, Done: make(chan struct{})}
}

func (q *Request) wire() []byte {
	options := fmt.Sprintf("c=%s,t=acme,d=%d", q.Class, q.Wait.Milliseconds())
	if !q.Write {
		return Encode("C.GET", q.Key, q.ID, options)
	}
	if q.IdempotencyKey != "" {
		options += ",k=" + q.IdempotencyKey
	}
	return Encode("C.SET", q.Key, q.ID, options, q.Value)
}

// Served reports whether the request got a value.
func (q *Request) Served() bool { return len(q.Answer) > 0 && q.Answer[0] == '$' }

// Client is a client's connection.
type Client struct {
	nc   net.Conn
	mu   sync.Mutex
	sent []*Request
	news chan struct{}
}

// Connect opens a client's connection.
func Connect(addr string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{nc: nc, news: make(chan struct{}, 1<<16)}
	go c.read()
	return c, nil
}

func (c *Client) read() {
	r := bufio.NewReaderSize(c.nc, 128<<10)
	for {
		answer, err := ReadAnswer(r)
		c.mu.Lock()
		if err != nil {
			for _, q := range c.sent {
				q.Err = err
				close(q.Done)
			}
			c.sent = nil
			c.mu.Unlock()
			return
		}
		if len(c.sent) > 0 {
			q := c.sent[0]
			c.sent = c.sent[1:]
			q.Answer, q.AnsweredAt = answer, time.Now()
			close(q.Done)
		}
		c.mu.Unlock()
	}
}

// Send sends requests in one piece. Answers come in their order.
func (c *Client) Send(requests ...*Request) error {
	var wire []byte
	c.mu.Lock()
	for _, q := range requests {
		wire = append(wire, q.wire()...)
		q.SentAt = time.Now()
	}
	c.sent = append(c.sent, requests...)
	c.mu.Unlock()
	_, err := c.nc.Write(wire)
	return err
}

// Close closes the connection.
func (c *Client) Close() { c.nc.Close() }
