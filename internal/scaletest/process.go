package scaletest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
)

// RoleEnv is set for the processes of this program that play a part of the fleet.
const RoleEnv = "SCALETEST_ROLE"

// role says what such a process plays: one of these.
type role struct {
	Caches *CachesSpec
	Agent  *agentSpec
	Fleet  *FleetSpec
}

type agentSpec struct {
	Addrs        [][]string // of the cache servers, by cache server and view
	Views        int
	RestartEvery time.Duration // 0 for never
}

// agentReady is what a new agent says, by view.
type agentReady struct {
	Addrs []string
	Known []json.RawMessage
}

// Serve plays a part: it reads a role and then commands from in, and answers each on out, until in ends.
func Serve(in io.Reader, out io.Writer) error {
	dec, enc := json.NewDecoder(in), json.NewEncoder(out)
	var r role
	if err := dec.Decode(&r); err != nil {
		return err
	}
	var ready any
	var do func(command string) any
	switch {
	case r.Caches != nil:
		c, err := StartCaches(*r.Caches)
		if err != nil {
			return err
		}
		ready, do = c.Addrs, func(string) any { return c.Count() }
	case r.Agent != nil:
		a, err := StartAgent(r.Agent.Addrs, r.Agent.Views)
		if err != nil {
			return err
		}
		go a.KeepRenewing()
		if r.Agent.RestartEvery > 0 {
			go a.KeepRestarting(r.Agent.RestartEvery)
		}
		said := agentReady{Addrs: a.Addrs}
		for v := range r.Agent.Views {
			said.Known = append(said.Known, a.Known(v))
		}
		ready, do = said, func(command string) any {
			if command != "count" {
				a.SetDown(command == "down")
			}
			return a.Count()
		}
	default:
		debug.SetGCPercent(400) // memory is at hand, processor time is not
		f, err := StartFleet(*r.Fleet)
		if err != nil {
			return err
		}
		ready, do = len(f.routers), func(string) any { return f.Count() }
	}
	for {
		if err := enc.Encode(ready); err != nil {
			return err
		}
		var command string
		if err := dec.Decode(&command); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
		ready = do(command)
	}
}

// process is one that this program has started.
type process struct {
	name     string
	cmd      *exec.Cmd
	in       *json.Encoder
	out      *json.Decoder
	log      tail
	ended    chan struct{}
	stopping atomic.Bool
}

// start starts a process; died is called if it ends by itself.
func (p *process) start(died func(error)) error {
	// A signal from the terminal is for the first process alone, and none outlives that.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr, p.ended = &p.log, make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func() {
		p.cmd.Wait()
		close(p.ended)
		if !p.stopping.Load() {
			died(fmt.Errorf("%s ended by itself (%v); its log ends with:\n%s", p.name, p.cmd.ProcessState, &p.log))
		}
	}()
	return nil
}

// startRole starts this program in a part and reads what it says when it is ready.
func startRole(name string, r role, ready any, died func(error)) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(self)}
	p.cmd.Env = append(os.Environ(), RoleEnv+"="+name)
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.in, p.out = json.NewEncoder(in), json.NewDecoder(out)
	if err := p.start(died); err != nil {
		return nil, err
	}
	return p, p.do(r, ready)
}

// do says something to a process and reads the answer.
func (p *process) do(command, answer any) error {
	err := p.in.Encode(command)
	if err == nil {
		err = p.out.Decode(answer)
	}
	if err != nil {
		return fmt.Errorf("%s: %w\n%s", p.name, err, &p.log)
	}
	return nil
}

// stop ends the process and waits for its end.
func (p *process) stop() {
	p.stopping.Store(true)
	p.cmd.Process.Kill()
	<-p.ended
}

// usage is what processes have used: seconds of processor time, and bytes of memory.
type usage struct{ cpu, memory, mostMemory float64 }

// add adds what a process has used.
func (u *usage) add(p *process) error {
	proc, err := procfs.NewProc(p.cmd.Process.Pid)
	if err != nil {
		return err
	}
	stat, err := proc.Stat()
	if err != nil {
		return err
	}
	status, err := proc.NewStatus()
	u.cpu, u.memory, u.mostMemory = u.cpu+stat.CPUTime(), u.memory+float64(status.VmRSS), u.mostMemory+float64(status.VmHWM)
	return err
}

// tail keeps the last lines that were written.
type tail struct {
	mu    sync.Mutex
	lines []string
	part  []byte
	said  func(line string) // if set, called with each line
}

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.part = append(t.part, b...)
	for {
		line, rest, whole := bytes.Cut(t.part, []byte("\n"))
		if !whole {
			return len(b), nil
		}
		t.part, t.lines = rest, append(t.lines, string(line))
		t.lines = t.lines[max(0, len(t.lines)-10):]
		if t.said != nil {
			t.said(string(line))
		}
	}
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.lines, "\n")
}

const startPatience = 30 * time.Second

// startRouter starts a real router with a configuration and returns its address once it answers PING.
func startRouter(ctx context.Context, name, program, dir string, config any, died func(error)) (*process, string, error) {
	raw, err := json.Marshal(config)
	if err != nil {
		return nil, "", err
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, "", err
	}
	serving := make(chan string, 1)
	p := &process{name: "router " + name, cmd: exec.Command("/bin/sh", "-c", `exec "$0"`, program)}
	p.log.said = func(line string) {
		if _, addr, ok := strings.Cut(line, "serving on "); ok && len(serving) == 0 {
			serving <- addr
		}
	}
	p.cmd.Env, p.cmd.Stdout = append(os.Environ(), "BALANCER_CONFIG="+path), &p.log
	if err := p.start(died); err != nil {
		return nil, "", err
	}
	addr := ""
	select {
	case addr = <-serving:
		err = ping(addr)
	case <-p.ended:
		err = fmt.Errorf("it ended")
	case <-time.After(startPatience):
		err = fmt.Errorf("it does not serve")
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		return p, "", fmt.Errorf("%s did not start: %w; its log ends with:\n%s", p.name, err, &p.log)
	}
	return p, addr, nil
}

func ping(addr string) error {
	nc, err := net.DialTimeout("tcp", addr, startPatience)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(startPatience))
	if _, err := nc.Write(command("PING")); err != nil {
		return err
	}
	rep, err := readReply(nc, make([]byte, replySize))
	if err == nil && string(rep.Data) != "PONG" {
		err = fmt.Errorf("PING was answered %q", rep.Data)
	}
	return err
}
