package scale

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is the resource use of a process since its start, as /proc reports it.
type Usage struct {
	PID              int     `json:"pid"`
	ProcessorSeconds float64 `json:"processor_seconds"`
	ResidentBytes    int64   `json:"resident_bytes"`
	PeakBytes        int64   `json:"peak_bytes"`
	ReadBytes        int64   `json:"read_bytes"`    // by read calls: connections, files
	WrittenBytes     int64   `json:"written_bytes"` // by write calls
}

const clockTicksPerSecond = 100

// UsageOf reads the resource use of a process from /proc.
func UsageOf(pid int) (u Usage, err error) {
	u.PID = pid
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
	const user, system = 11, 12
	if len(fields) <= system {
		return u, fmt.Errorf("process %d: /proc/PID/stat has too few fields", pid)
	}
	for _, field := range []int{user, system} {
		ticks, err := strconv.ParseFloat(fields[field], 64)
		if err != nil {
			return u, err
		}
		u.ProcessorSeconds += ticks / clockTicksPerSecond
	}
	status, err := numbersOf(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	u.ResidentBytes, u.PeakBytes = status["VmRSS"]<<10, status["VmHWM"]<<10
	calls, err := numbersOf(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.ReadBytes, u.WrittenBytes = calls["rchar"], calls["wchar"]
	return u, nil
}

// Since returns the use since an earlier reading; memory is the current value. If the process was
// started anew since then, it returns the whole use of the new process.
func (u Usage) Since(before Usage) Usage {
	if u.PID != before.PID {
		return u
	}
	u.ProcessorSeconds -= before.ProcessorSeconds
	u.ReadBytes -= before.ReadBytes
	u.WrittenBytes -= before.WrittenBytes
	return u
}

// numbersOf reads the numbers from a file with lines of the form "name: number".
func numbersOf(path string) (map[string]int64, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	all := map[string]int64{}
	for line := range strings.SplitSeq(string(raw), "\n") {
		name, rest, ok := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if !ok || len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			all[name] = n
		}
	}
	return all, nil
}
