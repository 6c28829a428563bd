// Package process starts the real programs for tests, signals them, and tells when
// they end.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// DaemonPath is the import path of the daemon.
const DaemonPath = "cactustray/cmd/cactustrayd"

// BuildError reports that a program does not build.
type BuildError struct {
	Output string
	Cause  error
}

func (e *BuildError) Error() string { return "build: " + e.Cause.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

// BuildDaemon builds the daemon in a folder and returns its path. It fails with
// *BuildError.
func BuildDaemon(dir string) (string, error) {
	binary := filepath.Join(dir, "cactustrayd")
	output, err := exec.Command("go", "build", "-o", binary, DaemonPath).CombinedOutput()
	if err != nil {
		return "", &BuildError{Output: string(output), Cause: err}
	}
	return binary, nil
}

// Process is one running program.
type Process struct {
	command *exec.Cmd
	log     *os.File
	// ended is closed once the process has been waited for.
	ended chan struct{}
}

// Start starts a program with one argument; what it prints is appended to a file.
func Start(binary, argument, logFile string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(binary, argument)
	command.Stdout, command.Stderr = log, log
	// A test that ends without its clean-up leaves no process behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &Process{command: command, log: log, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = command.Wait() // the exit code is in the state
		_ = log.Close()
	}()
	return p, nil
}

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits for the end and returns the exit code; -1 after a signal.
func (p *Process) Wait() int {
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// Kill ends the process.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // it may have ended
	<-p.ended
}
