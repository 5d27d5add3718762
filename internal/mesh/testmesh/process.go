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

// BuildPrograms builds the mesh's programs into a folder.
func BuildPrograms(dir string, programs ...string) error {
	for _, program := range programs {
		if output, err := exec.Command("go", "build", "-o", filepath.Join(dir, program), "ottershift/cmd/"+program).CombinedOutput(); err != nil {
			return fmt.Errorf("%s: %w: %s", program, err, output)
		}
	}
	return nil
}

// Process is a real process of the mesh that a test may freeze.
type Process struct {
	command *exec.Cmd
}

// StartProcess starts a program that Build has built, with a settings file beside it. It ends with the process that started it.
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

// Suspend has the process stand still; it does once this returns.
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

// stopped reports whether all threads of the process stand still.
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
		_, state, _ := strings.Cut(string(stat), ") ") // behind the program's name
		if !strings.HasPrefix(state, "T") {
			return false, nil
		}
	}
	return len(threads) > 0, nil
}

// Resume has it go on.
func (p *Process) Resume() error { return p.command.Process.Signal(syscall.SIGCONT) }

// Kill ends it.
func (p *Process) Kill() {
	p.command.Process.Kill()
	p.command.Wait()
}
