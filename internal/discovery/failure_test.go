package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
)

// setDial replaces the function with which a client opens connections.
func setDial(c *Client, dial func(ctx context.Context, network, addr string) (net.Conn, error)) {
	c.http.Transport.(*http.Transport).DialContext = dial
}

// TestDialErrorsAreClassified checks that an error caused by this machine is not taken for an unavailable service.
func TestDialErrorsAreClassified(t *testing.T) {
	for errno, want := range map[syscall.Errno]Failure{
		syscall.EADDRNOTAVAIL: LocalFault, syscall.EMFILE: LocalFault, syscall.ENETUNREACH: LocalFault,
		syscall.ENFILE: LocalFault, syscall.ENOBUFS: LocalFault, syscall.ENOMEM: LocalFault,
		syscall.EADDRINUSE: LocalFault, syscall.EINTR: LocalFault, syscall.ENOSPC: LocalFault,
		syscall.ECONNREFUSED: Unavailable, syscall.ETIMEDOUT: Unavailable, syscall.EHOSTUNREACH: Unavailable,
		syscall.ECONNRESET: Unavailable,
	} {
		client := newTestClient("127.0.0.1:1")
		setDial(client, func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		})
		if _, err := client.Poll(t.Context(), 5); err == nil || ClassifyFailure(err) != want {
			t.Errorf("%v: %v is of kind %d, want %d", errno, err, ClassifyFailure(err), want)
		}
	}
}

// failingConn is a connection on which reads fail with errno where they would report the end of the stream.
type failingConn struct {
	net.Conn
	errno syscall.Errno
}

func (c *failingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.errno)}
	}
	return n, err
}

// serveBytes starts a server that responds to one call with the given bytes and closes the connection.
func serveBytes(t *testing.T, wire string) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		if _, err := http.ReadRequest(bufio.NewReader(nc)); err == nil {
			_, _ = io.WriteString(nc, wire) // fails only if the client has gone
		}
	}()
	return ln.Addr().String()
}

// TestBrokenConnectionIsNoEnd guards against taking a list for complete that has no length and whose connection
// breaks, whichever error the system reports. The failure has to show that the service could be reached.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
	body := listJSON(9, true, endpointJSON("c1", "127.0.0.1:1", "in_service"))
	for _, wire := range []string{
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"HTTP/1.0 200 OK\r\n\r\n" + body,
		"HTTP/1.0 200 OK\r\n\r\n" + body[:len(body)/2],
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(body), body),
		"HTTP/1.1 200 OK\r\nConte",
		"",
	} {
		for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENOBUFS} {
			client := newTestClient(serveBytes(t, wire))
			setDial(client, func(ctx context.Context, network, addr string) (net.Conn, error) {
				nc, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return &failingConn{nc, errno}, err
			})
			list, err := client.Poll(t.Context(), 5)
			if err == nil {
				t.Errorf("%q, then %v: accepted %+v", wire, errno, list)
			} else if kind := ClassifyFailure(err); kind != UnusableReply {
				t.Errorf("%q, then %v: %v is of kind %d", wire, errno, err, kind)
			}
		}
	}
}

// TestRepliesAreClassified checks that an overloaded service counts as unavailable, and that a service counts as
// reachable if it sends an invalid response.
func TestRepliesAreClassified(t *testing.T) {
	for wire, want := range map[string]Failure{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n": Unavailable,
		"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n":                UnusableReply,
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                  UnusableReply,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n":                  UnusableReply,
		"rubbish\r\n\r\n": UnusableReply,
	} {
		_, err := newTestClient(serveBytes(t, wire)).Poll(t.Context(), 5)
		if err == nil || ClassifyFailure(err) != want {
			t.Errorf("%q: %v is of kind %d, want %d", wire, err, ClassifyFailure(err), want)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := newTestClient("127.0.0.1:1").Poll(ctx, 5); ClassifyFailure(err) != Unavailable {
		t.Errorf("a cancelled call: %v is of kind %d", err, ClassifyFailure(err))
	}
}
