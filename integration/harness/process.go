// Package harness starts a whole fleet as real processes on loopback addresses,
// with stand-ins for the external systems, and provides a client for callers and
// controls for faults and load. The black-box tests and the demo use it.
package harness

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout  = 200 * time.Millisecond
	pollInterval = 20 * time.Millisecond
	// freezeTimeout limits the wait until a process has stopped.
	freezeTimeout = 2 * time.Second
	// dumpTimeout limits the wait until a process has written its stacks.
	dumpTimeout = 2 * time.Second
)

// Process is a process of the fleet that can be restarted with the same arguments
// and addresses. It is safe for concurrent use.
type Process struct {
	Name string

	program string
	args    []string
	logPath string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// NewProcess returns a process that logs to a file in directory. It does not
// start the process; Start does.
func NewProcess(directory, name, program string, args ...string) *Process {
	return &Process{Name: name, program: program, args: args, logPath: filepath.Join(directory, name+".log")}
}

// Start starts the process. Its output is appended to its log.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return fmt.Errorf("process %s is already running", p.Name)
	}
	output, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.program, p.args...)
	command.Stdout, command.Stderr = output, output
	// The kernel kills the process if the test process dies without cleanup.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

func (p *Process) running() bool {
	if p.command == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running reports whether the process exists, running or frozen.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the process identifier of the last start, or 0 before the first
// start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Exited returns a channel that is closed when the process of the last start has
// exited. It is nil before the first start.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ExitCode returns the exit status of a process that has exited, or -1 if it was
// terminated by a signal, still runs or was never started.
func (p *Process) ExitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.running() {
		return -1
	}
	return p.command.ProcessState.ExitCode()
}

func (p *Process) signal(s os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return fmt.Errorf("process %s is not running", p.Name)
	}
	return p.command.Process.Signal(s)
}

// Kill sends SIGKILL and waits for the process to exit. It does nothing if the
// process is not running.
func (p *Process) Kill() {
	if p.signal(syscall.SIGKILL) == nil {
		<-p.Exited()
	}
}

// Terminate sends SIGTERM and returns immediately. It returns an error if the
// process is not running.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Stop sends SIGTERM and waits at most timeout for the process to exit. It
// returns an error if the process still runs then or was not running.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	select {
	case <-p.Exited():
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("process %s is still running %s after SIGTERM", p.Name, timeout)
	}
}

// DumpStacks makes a process that does not stop write the stacks of its goroutines to its
// log and exit.
func (p *Process) DumpStacks() {
	if p.signal(syscall.SIGQUIT) != nil {
		return
	}
	select {
	case <-p.Exited():
	case <-time.After(dumpTimeout):
	}
}

// Freeze suspends the process with SIGSTOP and waits until all of its threads have
// stopped: on a busy machine that takes some milliseconds.
func (p *Process) Freeze() error {
	if err := p.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	pid := p.PID()
	for end := time.Now().Add(freezeTimeout); !isStopped(pid); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("process %s did not stop within %s", p.Name, freezeTimeout)
		}
	}
	return nil
}

// isStopped reports whether all threads of a process are stopped or have ended.
func isStopped(pid int) bool {
	states, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false
	}
	for _, path := range states {
		data, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		// The state follows the name, which is in parentheses and may contain any character.
		_, rest, _ := strings.Cut(string(data[bytes.LastIndexByte(data, ')')+1:]), " ")
		if !strings.HasPrefix(rest, "T") && !strings.HasPrefix(rest, "Z") && !strings.HasPrefix(rest, "X") {
			return false
		}
	}
	return true
}

// Unfreeze resumes a frozen process with SIGCONT.
func (p *Process) Unfreeze() error { return p.signal(syscall.SIGCONT) }

// Restart kills the process if it runs and starts it again.
func (p *Process) Restart() error {
	p.Kill()
	return p.Start()
}

// Log returns the output of all starts, or the error text if the log cannot be
// read.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// waitListening waits until a TCP address accepts a connection. It returns an
// error, with the log, if the process exits or the timeout passes before that.
func (p *Process) waitListening(address string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err == nil {
			return conn.Close()
		}
		if !p.Running() {
			return fmt.Errorf("process %s exited early:\n%s", p.Name, p.Log())
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("process %s is not listening on %s after %s:\n%s", p.Name, address, timeout, p.Log())
}

const (
	// firstPort to lastPort lie below the range from which Linux assigns the
	// local ports of outgoing connections. Connections took ports from that
	// range between the probe and the bind in 4 of 10 fleets that started at
	// the same time as others.
	firstPort = 10240
	lastPort  = 32767
	// portsPerBlock is the number of consecutive ports that a fleet claims at a
	// time.
	portsPerBlock = 128
)

// Ports allocates free loopback ports and never returns the same one twice. It
// claims blocks of ports and holds a listener on the first port of each block,
// which keeps fleets of other processes out of the block.
//
// It does not bind the ports that it returns, not even to find out whether they are
// free: a child process that is started at that moment has a copy of the socket until
// its exec, and the port stays bound as long as that.
type Ports struct {
	claims    []net.Listener
	next, end int
	// bound holds the ports that were bound when the current block was claimed.
	bound map[int]bool
}

var errNoPort = errors.New("found no free loopback port")

// Next returns a loopback address that is free for TCP and UDP. It claims another
// block when the last one is used up, and returns errNoPort after 1000 tries, or the
// error of reading the table of bound ports.
func (p *Ports) Next() (string, error) {
	const tries = 1000
	for range tries {
		if p.next == p.end {
			if err := p.claim(); err != nil {
				return "", err
			}
			continue
		}
		port := p.next
		p.next++
		if !p.bound[port] {
			return loopback(port), nil
		}
	}
	return "", errNoPort
}

// NextWith returns a loopback address like Next, whose port is followed by above more that
// are free. It claims another block where the current one has no such ports.
func (p *Ports) NextWith(above int) (string, error) {
	const tries = 1000
	for range tries {
		if p.next+above >= p.end {
			if err := p.claim(); err != nil {
				return "", err
			}
			continue
		}
		first, free := p.next, true
		for port := first; port <= first+above; port++ {
			free = free && !p.bound[port]
		}
		if !free {
			p.next++
			continue
		}
		p.next = first + above + 1
		return loopback(first), nil
	}
	return "", errNoPort
}

// claim tries to claim a random block of ports.
func (p *Ports) claim() error {
	first := firstPort + portsPerBlock*rand.N((lastPort-firstPort)/portsPerBlock)
	l, err := net.Listen("tcp", loopback(first))
	if err != nil {
		return nil // the block is taken; the next call tries another one
	}
	p.claims = append(p.claims, l)
	p.bound, err = boundPorts()
	p.next, p.end = first+1, first+portsPerBlock
	return err
}

// boundPorts returns the local TCP and UDP ports that any process has bound.
func boundPorts() (map[int]bool, error) {
	out := map[int]bool{}
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		data, err := os.ReadFile("/proc/net/" + table)
		if errors.Is(err, os.ErrNotExist) {
			continue // no IPv6
		}
		if err != nil {
			return nil, err
		}
		for _, line := range strings.Split(string(data), "\n") {
			fields := strings.Fields(line)
			if len(fields) < 2 {
				continue
			}
			_, port, _ := strings.Cut(fields[1], ":")
			if n, err := strconv.ParseUint(port, 16, 16); err == nil { // not so in the heading
				out[int(n)] = true
			}
		}
	}
	return out, nil
}

// Release releases all claimed blocks of ports.
func (p *Ports) Release() {
	for _, l := range p.claims {
		_ = l.Close()
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
