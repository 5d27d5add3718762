package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the deployment: its settings file and its process.
type machine struct {
	name, zone, ip, class string
	service               string // of its upstream; empty on a core machine
	first                 bool
	m                     *mesh

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// mesh is a small deployment on loopback addresses. All machines use the same ports.
type mesh struct {
	dir      string
	record   *record
	bounds   []string // lines of the settings file under Tariff.Bounds
	beat     time.Duration
	ports    map[string]int
	zones    []string
	machines []*machine
	seeds    []string
	next     int
	tolerate int // machines; 0 stands for 1
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

func (r *record) since() time.Duration { return time.Since(r.start) }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newMesh prepares an empty deployment with free ports and a temporary folder.
func newMesh(rec *record, bounds []string) (*mesh, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	m := &mesh{dir: dir, record: rec, bounds: bounds, beat: 1500 * time.Millisecond, ports: map[string]int{}}
	var held []net.Listener
	for _, name := range []string{"Control", "Inner", "Inbound", "Outbound", "Ready", "App"} {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, listener)
		m.ports[name] = listener.Addr().(*net.TCPAddr).Port
	}
	for _, listener := range held {
		listener.Close()
	}
	return m, nil
}

// add adds a machine. Its address is a loopback address of its own.
func (m *mesh) add(class, zone, service string) *machine {
	m.next++
	pid := os.Getpid()
	added := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, m.next), zone: zone, class: class, service: service, first: true,
		ip: fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&63, pid&255, m.next), m: m}
	m.machines = append(m.machines, added)
	if !slices.Contains(m.zones, zone) {
		m.zones = append(m.zones, zone)
	}
	if class == "sorting" && len(m.seeds) < 3 {
		m.seeds = append(m.seeds, added.at("Control"))
	}
	return added
}

func (c *machine) at(port string) string { return fmt.Sprintf("%s:%d", c.ip, c.m.ports[port]) }

// writeSettings writes the settings file as the platform does.
func (c *machine) writeSettings() (string, error) {
	lines := []string{"Self.Node=" + c.name, "Self.Role=r", "Self.MachineClass=" + c.class, "Self.Ip=" + c.ip, "Self.District=" + c.zone,
		"Self.Province=p", fmt.Sprintf("Self.FirstStart=%v", c.first), "Self.SizeLimits.Cores=1",
		fmt.Sprintf("Network.InnerPorts=%d,%d", c.m.ports["Inner"], c.m.ports["Inner"]),
		"Network.SeedOffices=" + strings.Join(c.m.seeds, ","), "Carrier.DirectorySource=local_roll", "Carrier.Entry=local_roll",
		fmt.Sprintf("Carrier.Beat=%dms", c.m.beat.Milliseconds()), "Tariff.Contracts=base,drain,config,cost,retry,recover,tenants,quota",
		fmt.Sprintf("Tariff.Tolerate.Machines=%d", max(c.m.tolerate, 1)), "Tariff.Tolerate.Districts=0", "Tariff.Tolerate.Provinces=0",
		"Network.Counters.Control=" + c.at("Control")}
	for _, zone := range c.m.zones {
		lines = append(lines, "Network.Districts."+zone+"=p")
	}
	for _, bound := range c.m.bounds {
		lines = append(lines, "Tariff.Bounds."+bound)
	}
	if c.class == "sorting" {
		data := filepath.Join(c.m.dir, c.name+".data")
		if err := os.MkdirAll(data, 0o755); err != nil {
			return "", err
		}
		lines = append(lines, "Self.Serves=dispatch_office", "Self.Counted=true", "Self.DataDir="+data, "Self.SizeLimits.MemoryMb=280",
			"Self.SizeLimits.Fds=4096", "Self.SizeLimits.LineMbps=1000.0", "Self.SizeLimits.CpuShare=0.48", "Self.SizeLimits.DiskMb=256")
	} else {
		lines = append(lines, "Self.Serves=branch", "Self.Counted=false", "Self.SizeLimits.MemoryMb=184", "Self.SizeLimits.Fds=4100",
			"Self.SizeLimits.LineMbps=1000.0", "Self.SizeLimits.CpuShare=0.32", "Self.SizeLimits.DiskMb=0",
			"Self.App="+c.at("App"), "Self.Destination="+c.service, "Network.Counters.Inbound="+c.at("Inbound"),
			"Network.Counters.Outbound="+c.at("Outbound"), "Network.Counters.Ready="+c.at("Ready"))
	}
	path := filepath.Join(c.m.dir, c.name+".conf")
	return path, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// start starts the process of the machine with the command of the deploy file.
func (c *machine) start() error {
	path, err := c.writeSettings()
	if err != nil {
		return err
	}
	c.first = false
	program := "target/proxy"
	if c.class == "sorting" {
		program = "target/controller"
	}
	output, err := os.OpenFile(filepath.Join(c.m.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(program, "serve")
	command.Env = []string{"OTTERSHIFT_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		command.Wait()
		c.m.record.line("%s: process %d ended: %v", c.name, command.Process.Pid, command.ProcessState)
		close(ended)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.command, c.ended = command, ended
	c.m.record.line("%s at %s: started as process %d", c.name, c.ip, command.Process.Pid)
	return nil
}

func (c *machine) signal(s syscall.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m.record.line("%s: signal %v", c.name, s)
	c.command.Process.Signal(s)
}

// memoryPeak returns the peak of the process's resident memory in megabytes.
func (c *machine) memoryPeak() (megabytes int, err error) {
	c.mu.Lock()
	pid := c.command.Process.Pid
	c.mu.Unlock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &megabytes); err == nil {
			return megabytes >> 10, nil
		}
	}
	return 0, fmt.Errorf("no peak in the status of process %d", pid)
}

// stop kills the process, if it runs, and waits for its end.
func (c *machine) stop() {
	c.mu.Lock()
	command, ended := c.command, c.ended
	c.mu.Unlock()
	if command != nil {
		command.Process.Kill()
		command.Process.Signal(syscall.SIGCONT)
		<-ended
	}
}

// ready asks as the platform does.
func (c *machine) ready() bool {
	response, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + c.at("Ready") + "/-/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (m *mesh) close() {
	for _, c := range m.machines {
		c.stop()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(m.dir)
	} else {
		fmt.Println("kept", m.dir)
	}
}

// order sends an order of the operator once, to one machine.
func (m *mesh) order(to *machine, call, base, body string, timeout time.Duration) (status int, answer string) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest("POST", "http://"+to.at("Control")+"/-/rpc?call="+call, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Content-Type", "application/json")
	if base != "" {
		request.Header.Set("If-Match", base)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(raw)
}

// orderUntilTaken sends an order to any core machine until it is acknowledged.
func (m *mesh) orderUntilTaken(call, base, body string, within time.Duration) (taken time.Duration, err error) {
	last := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, c := range m.machines {
			if c.class != "sorting" {
				continue
			}
			status, answer := m.order(c, call, base, body, time.Second)
			if status == http.StatusOK {
				m.record.line("order %s on version %s: acknowledged by %s", call, base, c.name)
				return m.record.since(), nil
			}
			last = fmt.Sprint(status, " ", answer)
		}
	}
	return 0, fmt.Errorf("order %s was not taken: %s", call, last)
}

// waitUntil polls a condition.
func waitUntil(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// beat sends one heartbeat or sign-off of an upstream and reports whether it was acknowledged.
func beat(control, call, id string, message any) bool {
	raw, _ := json.Marshal(message)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+control+"/-/rpc?call="+call+"&of="+id, "application/json", bytes.NewReader(raw))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	return response.StatusCode/100 == 2
}
