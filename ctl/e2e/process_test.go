package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/gomega"
)

// patience bounds every wait of these tests. It is far above what any wait needs
// on a busy machine: a test that reaches it has failed, not been slow.
const patience = 90 * time.Second

// process is one running binary.
type process struct {
	name   string
	binary string
	args   []string
	health string // IP:port; empty: none
	log    string // file with its output

	cmd    *exec.Cmd
	exited chan struct{}
	err    error // valid once exited is closed
}

// start runs the binary, again if it ran before; its output is appended.
func (p *process) start() {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	Expect(err).NotTo(HaveOccurred())
	defer out.Close()
	p.cmd = exec.Command(p.binary, p.args...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	Expect(p.cmd.Start()).To(Succeed(), p.name)
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		p.err = cmd.Wait()
		close(exited)
	}()
}

func (p *process) signal(s syscall.Signal) {
	Expect(p.cmd.Process.Signal(s)).To(Succeed(), p.name)
}

// kill ends the process at once, as a host that dies does.
func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	p.waitExit()
}

func (p *process) waitExit() {
	Eventually(p.exited, patience).Should(BeClosed(), p.name+" did not exit")
}

func (p *process) running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

func (p *process) ready() bool {
	if !p.running() {
		return false
	}
	resp, err := http.Get("http://" + p.health + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *process) waitReady() {
	Eventually(func() bool {
		Expect(p.running()).To(BeTrue(), func() string { return p.name + " exited:\n" + p.tail() })
		return p.ready()
	}, patience, "20ms").Should(BeTrue(), func() string { return p.name + " is not ready:\n" + p.tail() })
}

// tail returns the end of the process's output.
func (p *process) tail() string {
	const shown = 4000
	text, _ := os.ReadFile(p.log)
	return string(text[max(0, len(text)-shown):])
}

// Ports are taken below the range from which the kernel gives ports to outgoing
// connections: a free port inside that range can be gone before the process that
// it is meant for has started.
const (
	firstPort     = 10_000
	portsEach     = 1_000 // for one test process
	testProcesses = 20    // that can run side by side
)

var nextPort = firstPort + os.Getpid()%testProcesses*portsEach

// ports hands out free loopback ports; none comes twice in one run.
func ports(n int) []string {
	addresses := make([]string, 0, n)
	for len(addresses) < n {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		nextPort++
		if (nextPort-firstPort)%portsEach == 0 {
			nextPort -= portsEach
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		Expect(l.Close()).To(Succeed())
		addresses = append(addresses, address)
	}
	return addresses
}

// build compiles a command of the workspace into dir.
func build(dir, module, pkg string) string {
	binary := filepath.Join(dir, filepath.Base(pkg))
	cmd := exec.Command("go", "build", "-o", binary, pkg)
	cmd.Dir = filepath.Join("..", "..", module)
	out, err := cmd.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return binary
}
