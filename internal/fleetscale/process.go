package fleetscale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// RoleEnv names the part that a process of this program plays. The first one has none.
const RoleEnv = "FLEETSCALE_ROLE"

const (
	roleCaches = "caches"
	roleAgent  = "agent"
	roleFleet  = "fleet"
)

// agentSpec says what discovery lists and for how many views.
type agentSpec struct {
	Addrs [][]string
	Views int
}

// agentReady is what a new agent says.
type agentReady struct {
	Addrs []string
	Known []json.RawMessage
}

// Serve plays a part: it reads what to be and then commands from in, and answers each on out. The
// end of in ends it.
func Serve(role string, in io.Reader, out io.Writer) error {
	dec, enc := json.NewDecoder(in), json.NewEncoder(out)
	var ready any
	var do func(command string) any
	switch role {
	case roleCaches:
		var s CachesSpec
		if err := dec.Decode(&s); err != nil {
			return err
		}
		c, err := StartCaches(s)
		if err != nil {
			return err
		}
		ready, do = c.Addrs, func(string) any { return c.Count() }
	case roleAgent:
		var s agentSpec
		if err := dec.Decode(&s); err != nil {
			return err
		}
		a, err := StartAgent(s.Addrs, s.Views)
		if err != nil {
			return err
		}
		go a.KeepRenewing()
		r := agentReady{Addrs: a.Addrs}
		for v := range s.Views {
			r.Known = append(r.Known, a.Known(v))
		}
		ready, do = r, func(command string) any {
			if command != "count" {
				a.SetDown(command == "down")
			}
			return a.Count()
		}
	case roleFleet:
		var s FleetSpec
		if err := dec.Decode(&s); err != nil {
			return err
		}
		f, err := StartFleet(s)
		if err != nil {
			return err
		}
		ready, do = len(f.routers), func(string) any { return f.Count() }
	default:
		return fmt.Errorf("unknown role %q", role)
	}
	if err := enc.Encode(ready); err != nil {
		return err
	}
	for {
		var command string
		if err := dec.Decode(&command); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		if err := enc.Encode(do(command)); err != nil {
			return err
		}
	}
}

// process is one that this program has started.
type process struct {
	name  string
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *json.Decoder
	log   *tail
	ended chan struct{}

	stopping atomic.Bool
}

// start starts a process; died is called with a description if it ends by itself.
func (p *process) start(died func(error)) error {
	// A signal from the terminal is for the first process alone, and none outlives it.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.cmd.Wait()
		close(p.ended)
		if !p.stopping.Load() {
			died(fmt.Errorf("%s ended by itself (%v); its log ends with:\n%s", p.name, p.cmd.ProcessState, p.log))
		}
	}()
	return nil
}

// startRole starts this program in one of its parts and reads what it says when it is ready.
func startRole(role string, spec, ready any, died func(error)) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: role, cmd: exec.Command(self), log: &tail{}, ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), RoleEnv+"="+role)
	if p.in, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.out = json.NewDecoder(out)
	if err := p.start(died); err != nil {
		return nil, err
	}
	if err = json.NewEncoder(p.in).Encode(spec); err == nil {
		err = p.out.Decode(ready)
	}
	if err != nil {
		p.stop()
		return nil, fmt.Errorf("%s did not start: %w\n%s", role, err, p.log)
	}
	return p, nil
}

// do gives a command and reads the answer.
func (p *process) do(command string, answer any) error {
	err := json.NewEncoder(p.in).Encode(command)
	if err == nil {
		err = p.out.Decode(answer)
	}
	if err != nil {
		return fmt.Errorf("%s: %s: %w", p.name, command, err)
	}
	return nil
}

// stop ends the process and waits for its end.
func (p *process) stop() {
	p.stopping.Store(true)
	p.cmd.Process.Kill()
	<-p.ended
}

// usage is what a process has used.
type usage struct {
	cpu      time.Duration // user and system
	rss, hwm int64         // bytes: now, and at most
}

const clockTick = 10 * time.Millisecond // of /proc's times, on every Linux that Go runs on

func (p *process) usage() (usage, error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return usage{}, err
	}
	// The name may hold anything, but ends with the last parenthesis.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return usage{}, errors.New("short stat")
	}
	user, uerr := strconv.ParseInt(fields[11], 10, 64)
	system, serr := strconv.ParseInt(fields[12], 10, 64)
	u := usage{cpu: time.Duration(user+system) * clockTick}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	for line := range strings.Lines(string(status)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kb); n == 1 {
			u.rss = kb << 10
		}
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			u.hwm = kb << 10
		}
	}
	return u, errors.Join(err, uerr, serr)
}

// tail keeps the last lines that were written.
type tail struct {
	mu    sync.Mutex
	lines []string
	part  []byte
	found func(line string) // if set, called with each line
}

const tailLines = 10

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.part = append(t.part, b...)
	for {
		line, rest, whole := bytes.Cut(t.part, []byte("\n"))
		if !whole {
			return len(b), nil
		}
		t.part = rest
		t.lines = append(t.lines, string(line))
		t.lines = t.lines[max(0, len(t.lines)-tailLines):]
		if t.found != nil {
			t.found(string(line))
		}
	}
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, "\n")
}

// routerSpec is the configuration of a real router.
type routerSpec struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    map[string]any  `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

const startPatience = 30 * time.Second

// startRouter starts a real router and waits until it answers PING. It returns its address.
func startRouter(ctx context.Context, program, dir string, s routerSpec, died func(error)) (*process, string, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(dir, s.Name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, "", err
	}
	serving := make(chan string, 1)
	p := &process{name: "router " + s.Name, cmd: exec.Command("/bin/sh", "-c", "exec '"+program+"'"),
		ended: make(chan struct{}), log: &tail{found: func(line string) {
			if _, addr, ok := strings.Cut(line, "serving on "); ok {
				select {
				case serving <- addr:
				default:
				}
			}
		}}}
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+path)
	p.cmd.Stdout = p.log
	if err := p.start(died); err != nil {
		return nil, "", err
	}
	ctx, end := context.WithTimeout(ctx, startPatience)
	defer end()
	select {
	case addr := <-serving:
		if err := ping(addr); err != nil {
			p.stop()
			return nil, "", fmt.Errorf("%s: PING: %w", p.name, err)
		}
		return p, addr, nil
	case <-p.ended:
		return nil, "", fmt.Errorf("%s ended at its start; its log ends with:\n%s", p.name, p.log)
	case <-ctx.Done():
		p.stop()
		return nil, "", fmt.Errorf("%s did not serve: %w; its log ends with:\n%s", p.name, ctx.Err(), p.log)
	}
}

func ping(addr string) error {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(startPatience))
	if _, err := nc.Write(command("PING")); err != nil {
		return err
	}
	rep, err := readReply(bufio.NewReader(nc))
	if err == nil && rep.line != "PONG" {
		err = errReply
	}
	return err
}
