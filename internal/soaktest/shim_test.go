package soaktest

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"unsafe"

	"golang.org/x/sys/unix"
)

// shimmedProgram is the environment variable with the program that the test binary executes after it has
// installed the system-call filter.
const shimmedProgram = "SOAKTEST_SHIMMED_PROGRAM"

// Offsets in struct seccomp_data, of which a filter loads 32 bits at a time.
const (
	systemCallOffset = 0
	levelOffset      = 16 + 8  // second argument of getsockopt
	optionOffset     = 16 + 16 // third argument of getsockopt
)

// TestMain runs the tests, or executes the program named by shimmedProgram without TCP_INFO.
func TestMain(m *testing.M) {
	if program := os.Getenv(shimmedProgram); program != "" {
		fmt.Fprintln(os.Stderr, "shim:", execWithoutTCPInfo(program))
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// withoutTCPInfo returns a command that runs a program in which getsockopt fails with ENOPROTOOPT for TCP_INFO,
// as on systems that do not support it.
func withoutTCPInfo(t *testing.T, program string) *exec.Cmd {
	t.Helper()
	shim, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(shim)
	cmd.Env = append(os.Environ(), shimmedProgram+"="+program)
	return cmd
}

// execWithoutTCPInfo installs the filter, which the program inherits, and replaces this process by the program.
// It returns only on failure.
func execWithoutTCPInfo(program string) error {
	runtime.LockOSThread()
	if err := unix.Prctl(unix.PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0); err != nil {
		return fmt.Errorf("no_new_privs: %w", err)
	}
	filter := tcpInfoFilter()
	list := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
	_, _, errno := unix.Syscall(unix.SYS_SECCOMP, unix.SECCOMP_SET_MODE_FILTER, 0, uintptr(unsafe.Pointer(&list)))
	if errno != 0 {
		return fmt.Errorf("seccomp: %w", errno)
	}
	return syscall.Exec(program, []string{program}, os.Environ())
}

// tcpInfoFilter returns a filter that allows all system calls except getsockopt(IPPROTO_TCP, TCP_INFO).
func tcpInfoFilter() []unix.SockFilter {
	load := func(offset uint32) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: offset}
	}
	// passUnless skips the given number of instructions, to the last one, unless the value is k.
	passUnless := func(k uint32, ahead uint8) unix.SockFilter {
		return unix.SockFilter{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: k, Jf: ahead}
	}
	result := func(k uint32) unix.SockFilter { return unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: k} }
	return []unix.SockFilter{
		load(systemCallOffset),
		passUnless(unix.SYS_GETSOCKOPT, 5),
		load(levelOffset),
		passUnless(unix.IPPROTO_TCP, 3),
		load(optionOffset),
		passUnless(unix.TCP_INFO, 1),
		result(unix.SECCOMP_RET_ERRNO | uint32(unix.ENOPROTOOPT)),
		result(unix.SECCOMP_RET_ALLOW),
	}
}
