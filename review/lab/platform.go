//go:build review

package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Must ends the case as one that could not run.
func Must(err error) {
	if err != nil {
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
}

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

// OpenRecord creates the record that the environment names.
func OpenRecord() *Record {
	file, err := os.Create(os.Getenv("RECORD"))
	Must(err)
	return &Record{out: bufio.NewWriter(file), start: time.Now()}
}

// Line writes a line, with the seconds since the start in front.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Say writes a line to the record and to the standard output.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Line(format, args...)
}

// Flush writes out what has been recorded.
func (r *Record) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
}

// Config is a router's configuration.
type Config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     List           `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// FreeAddr returns a loopback address that nobody listens on.
func FreeAddr() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Must(err)
	defer ln.Close()
	return ln.Addr().String()
}

// Router is a router's process, started with the command of the deploy file.
type Router struct {
	Addr  string
	Cmd   *exec.Cmd
	Ended chan struct{}
	dir   string
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) string {
	text, err := os.ReadFile("deploy/balancer.toml")
	Must(err)
	match := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		Must(fmt.Errorf("deploy/balancer.toml has no %s", key))
	}
	return string(match[1])
}

// StartRouter starts a router and waits until it is ready.
func StartRouter(cfg Config, record *Record) *Router {
	dir := filepath.Join(os.Getenv("WORKDIR"), cfg.Name)
	Must(os.MkdirAll(filepath.Join(dir, "tmp"), 0o755))
	text, err := json.MarshalIndent(cfg, "", " ")
	Must(err)
	path := filepath.Join(dir, "config.json")
	Must(os.WriteFile(path, text, 0o644))
	log, err := os.Create(filepath.Join(dir, "log"))
	Must(err)
	r := &Router{Addr: cfg.Listen, dir: dir, Ended: make(chan struct{})}
	r.Cmd = exec.Command("/bin/sh", "-c", deployCommand("run"))
	r.Cmd.Env = append(os.Environ(), "BALANCER_NAME="+cfg.Name, "BALANCER_LISTEN="+cfg.Listen,
		"BALANCER_DISCOVERY="+cfg.Discovery, "BALANCER_CONFIG="+path, "TMPDIR="+filepath.Join(dir, "tmp"))
	r.Cmd.Stdout, r.Cmd.Stderr = log, log
	r.Cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Must(r.Cmd.Start())
	notePid(r.Cmd.Process.Pid)
	go func() {
		r.Cmd.Wait()
		close(r.Ended)
	}()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if ready(cfg.Listen) {
			break
		}
		if time.Now().After(end) {
			Must(fmt.Errorf("%s is not ready after 30 s", cfg.Name))
		}
	}
	record.Line("%s is ready: it answers PING with +PONG", cfg.Name)
	return r
}

// notePid lists a process for the script, which ends what the driver has left.
func notePid(pid int) {
	file, err := os.OpenFile(filepath.Join(os.Getenv("WORKDIR"), "pids"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	Must(err)
	defer file.Close()
	fmt.Fprintln(file, pid)
}

func ready(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	nc.Write(Encode("PING"))
	line, _ := bufio.NewReader(nc).ReadString('\n')
	return line == "+PONG\r\n"
}

// Running reports whether the router's process has not ended.
func (r *Router) Running() bool {
	select {
	case <-r.Ended:
		return false
	default:
		return true
	}
}

// Kill ends the router's process.
func (r *Router) Kill() {
	r.Cmd.Process.Kill()
	<-r.Ended
}

// Log returns the router's log.
func (r *Router) Log() string {
	text, _ := os.ReadFile(filepath.Join(r.dir, "log"))
	return string(text)
}

// ResidentKB returns the memory that the router's process holds (VmRSS), and the most that it has held (VmHWM).
func (r *Router) ResidentKB() (now, most int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.Cmd.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "VmRSS:":
			now, _ = strconv.Atoi(fields[1])
		case "VmHWM:":
			most, _ = strconv.Atoi(fields[1])
		}
	}
	return now, most
}
