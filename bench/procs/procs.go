// Package procs starts the real processes of a trial and ends each of them by
// its process id, also when the trial is interrupted.
package procs

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// killAfter is how long a process may take to end by itself.
const killAfter = 10 * time.Second

// listeningPrefix begins the line in which a stand-in tells its address.
const listeningPrefix = "listening "

// Group is a set of processes with one folder for their logs.
type Group struct {
	dir string

	mu    sync.Mutex
	procs []*Process
}

// NewGroup returns an empty group; dir receives one log file for each process.
func NewGroup(dir string) *Group { return &Group{dir: dir} }

// Process is one running process.
type Process struct {
	Name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// Start runs a program; its output goes to a log file.
func (g *Group) Start(name, program string, args ...string) (*Process, error) {
	p, err := g.newProcess(name, program, args)
	if err != nil {
		return nil, err
	}
	p.cmd.Stdout = p.log
	return p, g.run(p)
}

// StartListening runs a stand-in and returns the address that it tells on its
// first line of output.
func (g *Group) StartListening(ctx context.Context, name, program string, args ...string) (*Process, string, error) {
	p, err := g.newProcess(name, program, args)
	if err != nil {
		return nil, "", err
	}
	p.cmd.Stdout = nil
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, "", errors.Wrap(err, name)
	}
	if err := g.run(p); err != nil {
		return nil, "", err
	}
	addr, err := readAddress(ctx, out)
	return p, addr, errors.Wrap(err, name)
}

func readAddress(ctx context.Context, out io.Reader) (string, error) {
	type result struct {
		addr string
		err  error
	}
	c := make(chan result, 1)
	go func() {
		line, err := bufio.NewReader(out).ReadString('\n')
		addr, ok := strings.CutPrefix(strings.TrimSpace(line), listeningPrefix)
		if err == nil && !ok {
			err = errors.Newf("the first line is %q", line)
		}
		c <- result{addr, err}
		_, _ = io.Copy(io.Discard, out)
	}()
	select {
	case r := <-c:
		return r.addr, r.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (g *Group) newProcess(name, program string, args []string) (*Process, error) {
	// Appended to, so that the log of an earlier life is still there.
	log, err := os.OpenFile(filepath.Join(g.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	// In a group of its own, so that Ctrl-C reaches the trial alone, which
	// then ends all in order. If the trial itself is killed, the kernel ends
	// them.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return &Process{Name: name, cmd: cmd, log: log, done: make(chan struct{})}, nil
}

func (g *Group) run(p *Process) error {
	if err := p.cmd.Start(); err != nil {
		_ = p.log.Close()
		return errors.Wrapf(err, "start %s", p.Name)
	}
	go func() {
		p.err = p.cmd.Wait()
		_ = p.log.Close()
		close(p.done)
	}()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.procs = append(g.procs, p)
	return nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Wait waits for the end of the process and returns its error.
func (p *Process) Wait(ctx context.Context) error {
	select {
	case <-p.done:
		return p.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Stop asks the process to end and kills it if it does not.
func (p *Process) Stop() {
	// A stopped process sees no other signal before it is woken.
	_ = p.Signal(syscall.SIGTERM)
	_ = p.Signal(syscall.SIGCONT)
	select {
	case <-p.done:
	case <-time.After(killAfter):
		p.Kill()
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}

// StopAll ends all processes, those started last first, all at once for each
// name's role being independent.
func (g *Group) StopAll() {
	g.mu.Lock()
	procs := g.procs
	g.procs = nil
	g.mu.Unlock()
	var wg sync.WaitGroup
	for _, p := range procs {
		wg.Go(p.Stop)
	}
	wg.Wait()
}

// KillAll ends all processes at once.
func (g *Group) KillAll() {
	g.mu.Lock()
	procs := g.procs
	g.procs = nil
	g.mu.Unlock()
	for _, p := range procs {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		<-p.done
	}
}
