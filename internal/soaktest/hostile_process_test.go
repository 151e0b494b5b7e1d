package soaktest

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
)

// Environment variables of a process of hostile clients.
const (
	hostileKindVariable = "SOAKTEST_HOSTILE_KIND" // the name of a kind in memoryHogs or fullSpeedClients
	hostileAddrVariable = "SOAKTEST_HOSTILE_ADDR" // of the router
	hostileCapVariable  = "SOAKTEST_HOSTILE_CAP"  // the largest number of clients
)

// hostileProcessors is GOMAXPROCS of a process of hostile clients.
const hostileProcessors = "3"

// startHostileProcess starts a process of hostile clients of a router. The returned function ends it.
func startHostileProcess(t *testing.T, kind, addr string, maxClients int) (stop func()) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestHostileProcess$")
	cmd.Env = append(os.Environ(), hostileKindVariable+"="+kind, hostileAddrVariable+"="+addr, "GOMAXPROCS="+hostileProcessors,
		fmt.Sprint(hostileCapVariable, "=", maxClients))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stop = sync.OnceFunc(func() {
		_ = input.Close() // which ends the clients
		if err := cmd.Wait(); err != nil {
			t.Errorf("hostile clients: %v", err)
		}
	})
	t.Cleanup(stop)
	return stop
}

// soakHostileKinds returns the kinds of hostile clients whose requests do not compete with those of others for the
// caches, so that the checker knows all requests that reach a cache.
func soakHostileKinds() (kinds []string) {
	for _, hog := range memoryHogs() {
		if !hog.sound {
			kinds = append(kinds, hog.name)
		}
	}
	for _, client := range fullSpeedClients() {
		if !client.sound {
			kinds = append(kinds, client.name)
		}
	}
	return kinds
}

// TestHostileProcess is not a test: it is the process of hostile clients that startHostileProcess starts. The clients
// run until its standard input ends.
func TestHostileProcess(t *testing.T) {
	kind, addr := os.Getenv(hostileKindVariable), os.Getenv(hostileAddrVariable)
	if kind == "" {
		return
	}
	maxClients, err := strconv.Atoi(os.Getenv(hostileCapVariable))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for _, hog := range memoryHogs() {
		if hog.name == kind {
			startClients(&clients, min(hog.clients, maxClients), func() { hog.run(addr, done) })
		}
	}
	var sent atomic.Int64
	for _, client := range fullSpeedClients() {
		if client.name == kind {
			startClients(&clients, min(client.clients, maxClients), func() { client.run(addr, &sent, done) })
		}
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // until the parent closes it or ends
	close(done)
	clients.Wait()
}

func startClients(running *sync.WaitGroup, count int, run func()) {
	for range count {
		running.Go(run)
	}
}
