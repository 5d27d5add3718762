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

// ticksPerSecond is the unit of processor times under /proc on Linux.
const ticksPerSecond = 100

// programs is where the mesh's programs are, and where what they need and write is kept.
type programs struct{ folder, work, logs string }

// process is a real process of the mesh.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts a program of the mesh by its settings.
func (p programs) start(program string, b *settings.Settings) (*process, error) {
	file := filepath.Join(p.work, b.Node+".conf")
	if err := testmesh.WriteSettings(b, file); err != nil {
		return nil, Error.Wrap(err)
	}
	b.FirstStart = false // from now on
	cmd := exec.Command(filepath.Join(p.folder, program), "serve")
	cmd.Env = []string{settings.FileVariable + "=" + file, "PATH=" + os.Getenv("PATH")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives this one
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

// Usage is what a process has used and holds, by /proc.
type Usage struct {
	Processor   time.Duration // since its start
	Resident    int64         // bytes
	Peak        int64         // bytes, the most resident since the peak was reset
	Descriptors int
}

// readUsage reads it for a process id.
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

// resetPeak has the kernel count the peak of resident memory anew.
func resetPeak(pid int) {
	os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0)
}

// parseProcessor reads user and system time; the program's name before them may hold spaces.
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

// statusBytes reads a line such as "VmRSS:   1024 kB".
func statusBytes(status []byte, name string) int64 {
	for _, line := range strings.Split(string(status), "\n") {
		if rest, is := strings.CutPrefix(line, name); is {
			kilobytes, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// group is processes of one role.
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

// RoleUsage is what the processes of one role used while a phase was measured.
type RoleUsage struct {
	Processes   int
	Cores       float64 // all together
	BusiestCore float64 // the busiest one
	MemoryMB    float64 // mean of their peaks
	LargestMB   float64 // the largest peak
	Descriptors int     // the most of any
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

// ownProcess is this very process among the measured.
func ownProcess(p *os.Process) *process {
	return &process{cmd: &exec.Cmd{Process: p}, ended: make(chan struct{})}
}
