package scaletest

// This file starts processes, exchanges messages with them and reads their usage.

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"

	"github.com/prometheus/procfs"
)

// process is one that this program has started.
type process struct {
	name     string
	cmd      *exec.Cmd
	encoder  *json.Encoder // to its standard input
	decoder  *json.Decoder // of its standard output
	log      logTail
	ended    chan struct{}
	stopping atomic.Bool
}

// processEndedError says that a process ended by itself.
type processEndedError struct {
	name  string
	state *os.ProcessState
	log   string
}

func (e *processEndedError) Error() string {
	return fmt.Sprintf("%s ended by itself (%v); its log ends with:\n%s", e.name, e.state, e.log)
}

// start starts a process; onExit is called if it ends by itself.
func (p *process) start(onExit func(error)) error {
	// A signal from the terminal is for the first process alone, and none outlives that.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = &p.log
	p.ended = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go p.wait(onExit)
	return nil
}

func (p *process) wait(onExit func(error)) {
	_ = p.cmd.Wait() // the process state says how it ended
	close(p.ended)
	if !p.stopping.Load() {
		onExit(&processEndedError{name: p.name, state: p.cmd.ProcessState, log: p.log.String()})
	}
}

// startWorker starts this program as a worker and reads its reply when it is ready. The process is
// returned also where it did not become ready, and has to be stopped then.
func startWorker(name string, r role, ready any, onExit func(error)) (*process, error) {
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
	return p, p.exchange(r, ready)
}

// do has a process carry out a command and reads its reply.
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

// stop ends the process and waits for its end.
func (p *process) stop() {
	p.stopping.Store(true)
	_ = p.cmd.Process.Kill() // it fails only where the process has ended
	<-p.ended
}

// usage is what processes have used: seconds of processor time, and bytes of memory.
type usage struct{ cpu, memory, maxMemory float64 }

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
	if err != nil {
		return err
	}
	u.cpu += stat.CPUTime()
	u.memory += float64(status.VmRSS)
	u.maxMemory += float64(status.VmHWM)
	return nil
}
