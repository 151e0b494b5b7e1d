package scaletest

// This file starts processes, exchanges messages with them and reads their resource usage.

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"

	"github.com/prometheus/procfs"
)

// process is a process that this program has started.
type process struct {
	name     string
	cmd      *exec.Cmd
	encoder  *json.Encoder // writes to its standard input
	decoder  *json.Decoder // reads its standard output
	log      logTail
	exited   chan struct{} // closed when the process has exited
	stopping atomic.Bool   // set when stop is called
}

// processExitError means that a process exited without being stopped.
type processExitError struct {
	name  string
	state *os.ProcessState
	log   string
}

func (e *processExitError) Error() string {
	return fmt.Sprintf("%s exited unexpectedly (%v); its log ends with:\n%s", e.name, e.state, e.log)
}

// start starts the process. It calls onExit if the process exits without being stopped.
func (p *process) start(onExit func(error)) error {
	// A process group of its own keeps signals of the terminal, such as Ctrl-C, from the child process.
	// Pdeathsig kills it when this program exits.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = &p.log
	p.exited = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go p.wait(onExit)
	return nil
}

func (p *process) wait(onExit func(error)) {
	_ = p.cmd.Wait() // the process state has the exit status
	close(p.exited)
	if !p.stopping.Load() {
		onExit(&processExitError{name: p.name, state: p.cmd.ProcessState, log: p.log.String()})
	}
}

// startWorker starts this program as a worker, sends it the spec and decodes its first reply into ready. If
// the worker was started but did not become ready, startWorker returns both the process, which the caller
// has to stop, and an error.
func startWorker(name string, spec workerSpec, ready any, onExit func(error)) (*process, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(program)}
	p.cmd.Env = append(os.Environ(), RoleEnv+"="+name)
	stdin, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	p.encoder = json.NewEncoder(stdin)
	p.decoder = json.NewDecoder(stdout)
	if err := p.start(onExit); err != nil {
		return nil, err
	}
	return p, p.exchange(spec, ready)
}

// do sends a command to the worker and decodes its reply.
func (p *process) do(command workerCommand, reply any) error { return p.exchange(command, reply) }

func (p *process) exchange(message, reply any) error {
	err := p.encoder.Encode(message)
	if err == nil {
		err = p.decoder.Decode(reply)
	}
	if err != nil {
		return fmt.Errorf("%s: %w\n%s", p.name, err, &p.log)
	}
	return nil
}

// stop kills the process and waits until it has exited.
func (p *process) stop() {
	p.stopping.Store(true)
	_ = p.cmd.Process.Kill() // fails only if the process has exited
	<-p.exited
}

// usage is the resource usage of one or more processes: processor time in seconds and memory in bytes.
type usage struct{ cpu, memory, maxMemory float64 }

// add adds the resource usage of a process.
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
	if err != nil {
		return err
	}
	u.cpu += stat.CPUTime()
	u.memory += float64(status.VmRSS)
	u.maxMemory += float64(status.VmHWM)
	return nil
}
