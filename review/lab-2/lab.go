//go:build review

// Package lab2 holds what the cases 6 to 10 share: stand-ins for cache servers and for the discovery agent,
// clients, the router process and the record.
package lab2

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// Trouble reports whether the disruption is to take place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	w     *bufio.Writer
	begin time.Time
}

// NewRecord opens the record in the folder that the environment variable CASE_DIR names.
func NewRecord() *Record {
	f, err := os.Create(filepath.Join(os.Getenv("CASE_DIR"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(CantRun)
	}
	return &Record{file: f, w: bufio.NewWriterSize(f, 1<<16), begin: time.Now()}
}

// Add writes one line, with the time in seconds since the start of the case.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f ", time.Since(r.begin).Seconds())
	fmt.Fprintf(r.w, format+"\n", args...)
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}

// ReadCommand reads one command, an array of bulk strings.
func ReadCommand(r *bufio.Reader) ([]string, error) {
	n, err := readHeader(r, '*')
	if err != nil {
		return nil, err
	}
	args := make([]string, n)
	for i := range args {
		size, err := readHeader(r, '$')
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		args[i] = string(b[:size])
	}
	return args, nil
}

func readHeader(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line[0] != kind {
		return 0, fmt.Errorf("unexpected line %q", line)
	}
	return strconv.Atoi(strings.TrimSpace(line[1:]))
}

// Encode encodes a command or an array of bulk strings.
func Encode(words ...string) []byte {
	b := []byte("*" + strconv.Itoa(len(words)) + "\r\n")
	for _, w := range words {
		b = append(b, "$"+strconv.Itoa(len(w))+"\r\n"+w+"\r\n"...)
	}
	return b
}

// Served is the answer of a cache server to a request that it has served with the given value.
func Served(value, status string) []byte {
	b := []byte("*3\r\n$" + strconv.Itoa(len(value)) + "\r\n" + value + "\r\n")
	if status == "" {
		b = append(b, "$-1\r\n"...)
	} else {
		b = append(b, "$"+strconv.Itoa(len(status))+"\r\n"+status+"\r\n"...)
	}
	return append(b, "$-1\r\n"...)
}

// Command is a command that a cache server has received.
type Command struct {
	Server  *Cache
	Args    []string
	At      time.Time
	Conn    net.Conn
	Options map[string]string
}

// Cache is a stand-in for a cache server.
type Cache struct {
	Name, Addr string
	// Serve returns the answer to a C.GET or C.SET; nil means that the connection stays silent.
	Serve func(c *Command) []byte
	// Accepted is called for each new connection before anything is read from it. It may be nil.
	Accepted func()
	// SinceMS, Status, Zone and Group go to the endpoint list.
	SinceMS int64
	Status  string
	Zone    string
	Group   int

	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// StartCache starts a cache server on a free port.
func StartCache(name string, serve func(*Command) []byte) (*Cache, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &Cache{Name: name, Addr: l.Addr().String(), Serve: serve, Status: "in_service", Zone: "a", Group: 1,
		listener: l, conns: map[net.Conn]struct{}{}}
	go c.accept()
	return c, nil
}

func (c *Cache) accept() {
	for {
		nc, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns[nc] = struct{}{}
		c.mu.Unlock()
		go c.handle(nc)
	}
}

func (c *Cache) handle(nc net.Conn) {
	defer func() {
		nc.Close()
		c.mu.Lock()
		delete(c.conns, nc)
		c.mu.Unlock()
	}()
	if c.Accepted != nil {
		c.Accepted()
	}
	r := bufio.NewReader(nc)
	for {
		args, err := ReadCommand(r)
		if err != nil {
			return
		}
		var reply []byte
		switch strings.ToUpper(args[0]) {
		case "PING":
			reply = []byte("+PONG\r\n")
		case "C.GET", "C.SET":
			reply = c.Serve(&Command{Server: c, Args: args, At: time.Now(), Conn: nc, Options: Options(args[3])})
		default:
			reply = []byte("-ERR\r\n")
		}
		if reply == nil {
			continue
		}
		if _, err := nc.Write(reply); err != nil {
			return
		}
	}
}

// Options parses the options of a request.
func Options(text string) map[string]string {
	options := map[string]string{}
	for _, option := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(option, "=")
		options[name] = value
	}
	return options
}

// Endpoint is the entry of a cache server in an endpoint list.
func (c *Cache) Endpoint() map[string]any {
	return map[string]any{"name": c.Name, "address": c.Addr, "zone": c.Zone, "type": "m1", "group": c.Group,
		"status": c.Status, "weight": 1.0, "since_ms": c.SinceMS}
}

// Agent is a stand-in for the discovery agent.
type Agent struct {
	Addr    string
	mu      sync.Mutex
	index   int
	caches  []*Cache
	status  map[string]string // by the name of the cache server, where it differs from Cache.Status
	changed chan struct{}

	// Answered is called before a list is written to a router. It may be nil.
	Answered func(list map[string]any)
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// StartAgent starts an agent that has the list of the given cache servers.
func StartAgent(index int, caches ...*Cache) (*Agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Addr: l.Addr().String(), index: index, caches: caches, status: map[string]string{},
		changed: make(chan struct{}), listener: l, conns: map[net.Conn]struct{}{}}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", a.serve)
	server := &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if state == http.StateClosed {
			delete(a.conns, c)
		} else {
			a.conns[c] = struct{}{}
		}
	}}
	go server.Serve(l)
	return a, nil
}

// SetStatus makes the agent have been sent another status of a cache server. Call it within Change.
func (a *Agent) SetStatus(c *Cache, status string) { a.status[c.Name] = status }

// Retire does what an address does that a new configuration no longer names: it takes no new connections and closes
// the open ones after 1.5 s.
func (a *Agent) Retire() {
	a.listener.Close()
	time.AfterFunc(1500*time.Millisecond, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		for c := range a.conns {
			c.Close()
		}
	})
}

// Change makes a change of the list and tells it to all watches, as the whole list.
func (a *Agent) Change(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
	a.index++
	close(a.changed)
	a.changed = make(chan struct{})
}

// List returns the whole list, with the status of each cache server as this agent has been sent it.
func (a *Agent) List() map[string]any {
	endpoints := []any{}
	for _, c := range a.caches {
		endpoint := c.Endpoint()
		if status, ok := a.status[c.Name]; ok {
			endpoint["status"] = status
		}
		endpoints = append(endpoints, endpoint)
	}
	return map[string]any{"index": a.index, "snapshot": true, "endpoints": endpoints}
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	a.mu.Lock()
	for err == nil && a.index == after {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
			a.mu.Lock()
			continue
		case <-r.Context().Done():
			return
		case <-timeout:
		}
		a.mu.Lock()
		if a.index == after {
			defer a.mu.Unlock()
			json.NewEncoder(w).Encode(map[string]any{"index": a.index, "snapshot": false, "endpoints": []any{}})
			return
		}
	}
	defer a.mu.Unlock()
	list := a.List()
	if a.Answered != nil {
		a.Answered(list)
	}
	json.NewEncoder(w).Encode(list)
}

// Router is a router process.
type Router struct {
	Addr string
	cmd  *exec.Cmd
	dir  string
	done chan struct{}

	config map[string]any
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:7380"
	}
	defer l.Close()
	return l.Addr().String()
}

// StartRouter starts the router as the deploy file says it and waits until it is ready. settings and limits are
// the objects of the configuration.
func StartRouter(agent *Agent, settings, limits map[string]any) (*Router, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &Router{Addr: FreeAddr(), dir: dir, done: make(chan struct{})}
	agent.mu.Lock()
	r.config = map[string]any{"name": "router-1", "listen": r.Addr, "discovery": agent.Addr, "seed": "1",
		"limits": limits, "known": agent.List(), "settings": settings}
	agent.mu.Unlock()
	if err := r.writeConfig(); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, err
	}
	r.cmd = exec.Command("/bin/sh", "-c", "exec bin/cacherouter")
	r.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path, "BALANCER_NAME=router-1", "BALANCER_LISTEN="+r.Addr,
		"BALANCER_DISCOVERY="+agent.Addr, "TMPDIR="+dir)
	r.cmd.Stdout, r.cmd.Stderr = log, log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		r.cmd.Wait()
		close(r.done)
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := Dial(r.Addr)
		if err != nil {
			continue
		}
		reply, err := c.Do(time.Second, "PING")
		c.Close()
		if err == nil && reply == "+PONG" {
			return r, nil
		}
	}
	r.Kill()
	return nil, errors.New("the router is not ready within 30 s")
}

func (r *Router) writeConfig() error {
	config, err := json.Marshal(r.config)
	if err != nil {
		return err
	}
	path := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(path+".new", config, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// MoveDiscovery replaces the configuration file by one that names another agent, and sends SIGHUP.
func (r *Router) MoveDiscovery(agent *Agent) error {
	r.config["discovery"] = agent.Addr
	if err := r.writeConfig(); err != nil {
		return err
	}
	r.Signal(syscall.SIGHUP)
	return nil
}

// Signal sends a signal to the router.
func (r *Router) Signal(s syscall.Signal) { r.cmd.Process.Signal(s) }

// PID is the router's process ID.
func (r *Router) PID() int { return r.cmd.Process.Pid }

// Done is closed when the process has ended.
func (r *Router) Done() <-chan struct{} { return r.done }

// Ended reports whether the process has ended.
func (r *Router) Ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// Kill ends the router and removes its folder. It returns the end of its log.
func (r *Router) Kill() string {
	r.cmd.Process.Kill()
	<-r.done
	log, _ := os.ReadFile(filepath.Join(r.dir, "log"))
	os.RemoveAll(r.dir)
	if len(log) > 6000 {
		log = log[len(log)-6000:]
	}
	return string(log)
}

// Client is a client's connection.
type Client struct {
	net.Conn
	R *bufio.Reader
}

// Dial connects to the router.
func Dial(addr string) (*Client, error) {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{nc, bufio.NewReader(nc)}, nil
}

// Do sends a command and returns the answer.
func (c *Client) Do(timeout time.Duration, words ...string) (string, error) {
	if _, err := c.Write(Encode(words...)); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(timeout))
	return c.ReadReply()
}

// ReadReply reads one answer of the router: the line of a simple answer with its type, or the value of a bulk
// string behind a '$'.
func (c *Client) ReadReply() (string, error) {
	line, err := c.R.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != '$' {
		return line, nil
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil || size < 0 {
		return line, err
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(c.R, b); err != nil {
		return "", err
	}
	return "$" + string(b[:size]), nil
}

// SmallSettings are the settings of a small deployment: those of quito-norte, with one router.
func SmallSettings() map[string]any {
	return map[string]any{
		"instances": 1, "discovery": "automatic", "weights": "none",
		"categories": []any{
			map[string]any{"name": "page-view", "effect": "read_like", "dedupScope": "all", "aim": 600000, "hardLimit": 2000000,
				"keyTtl": 5000000, "worth": 5},
			map[string]any{"name": "annotate", "effect": "idempotency_key", "dedupScope": "all", "aim": 1200000,
				"hardLimit": 4000000, "keyTtl": 8000000, "worth": 10},
		},
		"limits": map[string]any{"cancel": true, "probes": true, "secondCopies": true, "retryAfter": true, "maxAttempts": 3,
			"maxRetryAfter": 2000000, "maxOpen": 20000, "dialTimeout": 250000, "keepalive": 60000000},
		"rules": map[string]any{"askEvery": 10000000, "cold": 9000000, "drainGrace": 1500000, "fall": 1500000,
			"graceToAnswer": 20000, "startCapacity": 0.31, "tipMultiple": 3},
	}
}

// SmallLimits are the limits of scored days.
func SmallLimits() map[string]any {
	return map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}
}

// Workers is a cache server's work: a number of requests at a time, each for a while, and a short queue. A request
// that finds the queue full is answered BUSY. One whose connection is closed before it begins is dropped.
type Workers struct {
	slots chan struct{}
	queue chan struct{}
}

// NewWorkers returns the work of one cache server.
func NewWorkers(slots, queue int) *Workers {
	return &Workers{make(chan struct{}, slots), make(chan struct{}, slots+queue)}
}

// Do works for the given time. It returns false if the queue is full.
func (w *Workers) Do(work time.Duration) bool {
	select {
	case w.queue <- struct{}{}:
	default:
		return false
	}
	w.slots <- struct{}{}
	time.Sleep(work)
	<-w.slots
	<-w.queue
	return true
}
