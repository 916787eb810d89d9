// Package harness starts a whole fleet as real processes on loopback addresses,
// with stand-ins for the outside systems, and offers a caller's client. The
// black-box tests and the demo share it.
package harness

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	dialTimeout  = 200 * time.Millisecond
	pollInterval = 20 * time.Millisecond
)

// Process is a process of the fleet that can be started again with the same
// arguments and addresses. It is safe for concurrent use.
type Process struct {
	Name string

	program string
	args    []string
	logPath string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
}

// NewProcess returns a process that logs to a file in directory; Start starts it.
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
	// The kernel kills the process when the test's process dies without cleanup.
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

// Running reports whether the process runs or is frozen.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// PID returns the identifier of the newest start, or 0 before the first.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Exited returns a channel that is closed when the newest start has ended.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// ExitCode returns the exit status of a process that has ended, or -1 when a
// signal ended it or it still runs.
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

// Kill sends SIGKILL and waits for the end. A process that does not run is no
// error.
func (p *Process) Kill() {
	if p.signal(syscall.SIGKILL) == nil {
		<-p.Exited()
	}
}

// Terminate sends SIGTERM and returns at once.
func (p *Process) Terminate() error { return p.signal(syscall.SIGTERM) }

// Stop sends SIGTERM and waits for the end, for at most timeout.
func (p *Process) Stop(timeout time.Duration) error {
	if err := p.Terminate(); err != nil {
		return err
	}
	select {
	case <-p.Exited():
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("process %s still runs %s after SIGTERM", p.Name, timeout)
	}
}

// Freeze sends SIGSTOP.
func (p *Process) Freeze() error { return p.signal(syscall.SIGSTOP) }

// Unfreeze sends SIGCONT.
func (p *Process) Unfreeze() error { return p.signal(syscall.SIGCONT) }

// Restart kills the process if it runs and starts it again.
func (p *Process) Restart() error {
	p.Kill()
	return p.Start()
}

// Log returns the output of all starts.
func (p *Process) Log() string {
	data, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(data)
}

// waitListening waits until a TCP address accepts a connection.
func (p *Process) waitListening(address string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err == nil {
			return conn.Close()
		}
		if !p.Running() {
			return fmt.Errorf("process %s ended early:\n%s", p.Name, p.Log())
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("process %s does not listen on %s after %s:\n%s", p.Name, address, timeout, p.Log())
}

const (
	// firstPort to lastPort lie below the range from which Linux takes the local
	// ports of outgoing connections. Ports from that range were taken by
	// connections between the probe and the bind, in 4 of 10 fleets that started
	// beside others.
	firstPort = 10240
	lastPort  = 32767
	// slotPorts is the number of ports that a fleet claims at a time.
	slotPorts = 128
)

// Ports hands out free loopback ports and never the same one twice. It claims
// slots of ports and holds a listener on the first port of each, so that fleets
// of other processes choose other slots.
type Ports struct {
	claims    []net.Listener
	next, end int
}

var errNoPort = errors.New("found no free port")

// TCP returns a free loopback address for TCP.
func (p *Ports) TCP() (string, error) {
	return p.pick(func(address string) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		return l.Close()
	})
}

// UDP returns a free loopback address for UDP.
func (p *Ports) UDP() (string, error) {
	return p.pick(func(address string) error {
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

func (p *Ports) pick(probe func(address string) error) (string, error) {
	const tries = 1000
	for range tries {
		if p.next == p.end {
			p.claim()
			continue
		}
		address := loopback(p.next)
		p.next++
		if probe(address) == nil {
			return address, nil
		}
	}
	return "", errNoPort
}

// claim tries to take a random slot.
func (p *Ports) claim() {
	first := firstPort + slotPorts*rand.N((lastPort-firstPort)/slotPorts)
	if l, err := net.Listen("tcp", loopback(first)); err == nil {
		p.claims = append(p.claims, l)
		p.next, p.end = first+1, first+slotPorts
	}
}

// Release gives all ports back.
func (p *Ports) Release() {
	for _, l := range p.claims {
		_ = l.Close()
	}
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
