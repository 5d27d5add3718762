package testmesh

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ottershift/internal/mesh/settings"
)

// BuildPrograms builds programs of the mesh into a directory.
func BuildPrograms(dir string, programs ...string) error {
	for _, program := range programs {
		if output, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "ottershift/cmd/"+program).CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %s", program, err, output)
		}
	}
	return nil
}

// Process is an operating system process of the mesh that a test can suspend.
type Process struct {
	command *exec.Cmd
}

// StartProcess starts a program that BuildPrograms has built, with a settings file in the same directory. The process
// is killed when the calling process ends.
func StartProcess(dir, program string, cfg *settings.Settings) (*Process, error) {
	file := filepath.Join(dir, cfg.Node+".conf")
	if err := WriteSettings(cfg, file); err != nil {
		return nil, err
	}
	command := exec.Command(filepath.Join(dir, program), "serve")
	command.Env = []string{settings.FileVariable + "=" + file, "PATH=" + os.Getenv("PATH")}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return &Process{command}, command.Start()
}

// Suspend stops the process with SIGSTOP and returns once all its threads have stopped.
func (p *Process) Suspend() error {
	if err := p.command.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		stopped, err := p.stopped()
		if stopped || err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// stopped reports whether all threads of the process are stopped.
func (p *Process) stopped() (bool, error) {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	if err != nil {
		return false, err
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil {
			return false, err
		}
		_, state, _ := strings.Cut(string(stat), ") ") // the state follows the program name
		if !strings.HasPrefix(state, "T") {
			return false, nil
		}
	}
	return len(threads) > 0, nil
}

// Resume continues the process.
func (p *Process) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.command.Process.Kill()
	p.command.Wait()
}
