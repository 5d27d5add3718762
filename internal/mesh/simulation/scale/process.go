package scale

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

// ticksPerSecond is the unit of CPU times under /proc on Linux.
const ticksPerSecond = 100

// programs holds the folders of the binaries, of their settings and data, and of their logs.
type programs struct{ folder, work, logs string }

// process is a real process of the mesh.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// start writes the settings of a process and starts its program.
func (p programs) start(program string, b *settings.Settings) (*process, error) {
	file := filepath.Join(p.work, b.Node+".conf")
	if err := testmesh.WriteSettings(b, file); err != nil {
		return nil, Error.Wrap(err)
	}
	b.FirstStart = false // a restarted process is no longer a first start
	cmd := exec.Command(filepath.Join(p.folder, program), "serve")
	cmd.Env = []string{settings.FileVariable + "=" + file, "PATH=" + os.Getenv("PATH")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no child process outlives the simulator
	if p.logs != "" {
		log, err := os.OpenFile(filepath.Join(p.logs, b.Node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		defer log.Close()
		cmd.Stderr = log
	}
	if err := cmd.Start(); err != nil {
		return nil, Error.New("%s: %v", program, err)
	}
	started := &process{cmd: cmd, ended: make(chan struct{})}
	go func() {
		defer close(started.ended)
		cmd.Wait()
	}()
	return started, nil
}

func (p *process) kill() {
	p.cmd.Process.Kill()
	<-p.ended
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Usage is the resource usage of a process, from /proc.
type Usage struct {
	Processor   time.Duration // CPU time since its start
	Resident    int64         // bytes
	Peak        int64         // bytes, peak resident memory since the last reset
	Descriptors int
}

// readUsage reads the usage of a process.
func readUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	processor, err := parseProcessor(stat)
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return Usage{}, Error.Wrap(err)
	}
	return Usage{Processor: processor, Resident: statusBytes(status, "VmRSS:"), Peak: statusBytes(status, "VmHWM:"), Descriptors: len(descriptors)}, nil
}

// resetPeak resets the peak resident memory that the kernel keeps for a process.
func resetPeak(pid int) {
	os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}

// parseProcessor returns user plus system time. The program name before these fields may contain spaces and parentheses.
func parseProcessor(stat []byte) (time.Duration, error) {
	const userTime, systemTime = 11, 12 // fields after the name
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemTime {
		return 0, Error.New("no processor times in %q", stat)
	}
	var ticks int64
	for _, field := range []int{userTime, systemTime} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// statusBytes parses a line such as "VmRSS:   1024 kB".
func statusBytes(status []byte, name string) int64 {
	for _, line := range strings.Split(string(status), "\n") {
		if rest, is := strings.CutPrefix(line, name); is {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// group is the processes of one role.
type group []*process

func (g group) usage() (all []Usage, err error) {
	for _, p := range g {
		used, err := readUsage(p.cmd.Process.Pid)
		if err != nil {
			return nil, err
		}
		all = append(all, used)
	}
	return all, nil
}

func (g group) resetPeaks() {
	for _, p := range g {
		resetPeak(p.cmd.Process.Pid)
	}
}

func (g group) kill() {
	for _, p := range g {
		p.kill()
	}
}

// RoleUsage is the resource usage of the processes of one role during the measurement of a phase.
type RoleUsage struct {
	Processes   int
	Cores       float64 // of all processes together
	BusiestCore float64 // of the busiest process
	MemoryMB    float64 // mean of the peaks
	LargestMB   float64 // the largest peak
	Descriptors int     // largest number of any process
}

func roleUsage(before, after []Usage, took time.Duration) RoleUsage {
	out := RoleUsage{Processes: len(after)}
	for n, used := range after {
		cores := (used.Processor - before[n].Processor).Seconds() / took.Seconds()
		megabytes := float64(used.Peak) / 1e6
		out.Cores += cores
		out.BusiestCore = max(out.BusiestCore, cores)
		out.MemoryMB += megabytes / float64(len(after))
		out.LargestMB = max(out.LargestMB, megabytes)
		out.Descriptors = max(out.Descriptors, used.Descriptors)
	}
	return out
}

// ownProcess returns the current process, which holds the hollow proxies, as one to measure.
func ownProcess(p *os.Process) *process {
	return &process{cmd: &exec.Cmd{Process: p}, ended: make(chan struct{})}
}
