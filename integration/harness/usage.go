package harness

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// Usage is what a process takes from its machine.
type Usage struct {
	// Resident is the memory of the process, and Unread the bytes that its sockets have
	// received and that it has not read, both in bytes.
	Resident, Unread int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Memory returns the sum that counts towards the memory limit of the machine, in bytes.
func (u Usage) Memory() int64 { return u.Resident + u.Unread }

// ReadUsage returns the usage of a running process. The addresses are those on which it
// listens: connections that it has not accepted yet are found by their port.
func ReadUsage(pid int, addresses ...string) (Usage, error) {
	var u Usage
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	_, rest, found := strings.Cut(string(status), "VmRSS:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return u, fmt.Errorf("process %d has ended", pid)
	}
	kilobytes, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return u, err
	}
	u.Resident = kilobytes << 10
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return u, err
	}
	u.Descriptors = len(descriptors)
	inodes := map[string]bool{}
	for _, path := range descriptors {
		// An error means that the descriptor was closed in the meantime.
		if target, err := os.Readlink(path); err == nil {
			if inode, ok := strings.CutPrefix(target, "socket:["); ok {
				inodes[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	ports := map[string]bool{}
	for _, a := range addresses {
		_, port, _ := strings.Cut(a, ":")
		if n, err := strconv.Atoi(port); err == nil {
			ports[fmt.Sprintf("%04X", n)] = true
		}
	}
	for _, table := range []string{"tcp", "tcp6", "udp", "udp6"} {
		n, err := unread(table, inodes, ports)
		if err != nil {
			return u, err
		}
		u.Unread += n
	}
	return u, nil
}

// usageInterval is the time between two readings of the usage of a process.
const usageInterval = 20 * time.Millisecond

// PeakUsage returns the largest usage of the process within d. It returns an error if the
// process has ended.
func (p *Process) PeakUsage(d time.Duration, addresses ...string) (Usage, error) {
	var peak Usage
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(usageInterval) {
		u, err := ReadUsage(p.PID(), addresses...)
		if err != nil || !p.Running() {
			return peak, fmt.Errorf("process %s has ended: %w", p.Name, err)
		}
		if u.Memory() > peak.Memory() {
			peak.Resident, peak.Unread = u.Resident, u.Unread
		}
		peak.Descriptors = max(peak.Descriptors, u.Descriptors)
	}
	return peak, nil
}

// Within returns an error if the usage is above the limits of a machine, in bytes and in
// descriptors.
func (u Usage) Within(memory int64, descriptors int) error {
	if u.Memory() > memory {
		return fmt.Errorf("%s; the machine has %d MB", u, memory/1e6)
	}
	if u.Descriptors >= descriptors {
		return fmt.Errorf("%s; the machine has %d descriptors", u, descriptors)
	}
	return nil
}

// String describes the usage.
func (u Usage) String() string {
	return fmt.Sprintf("%d MB resident, %d MB unread, %d descriptors", u.Resident/1e6, u.Unread/1e6, u.Descriptors)
}

// unread returns the unread bytes of the connections in a table of sockets that belong to
// the process or wait to be accepted by it.
func unread(table string, inodes, ports map[string]bool) (int64, error) {
	const stateListen, inodeNone = "0A", "0"
	data, err := os.ReadFile("/proc/net/" + table)
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for _, line := range strings.Split(string(data), "\n")[1:] {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == stateListen {
			continue
		}
		_, port, _ := strings.Cut(fields[1], ":")
		if !inodes[fields[9]] && (fields[9] != inodeNone || !ports[port]) {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}

// LimitDescriptors sets the largest number of descriptors that the running process may open.
func (p *Process) LimitDescriptors(n int) error {
	limit := syscall.Rlimit{Cur: uint64(n), Max: uint64(n)}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.PID()), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return fmt.Errorf("limit the descriptors of %s: %w", p.Name, errno)
	}
	return nil
}
