// Package process builds and starts the real programs for tests, signals them, and waits for
// their exit.
package process

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// DaemonPath is the import path of the daemon.
const DaemonPath = "cactustray/cmd/cactustrayd"

// BuildError reports that a program does not build. Output is that of the compiler.
type BuildError struct {
	Output string
	Cause  error
}

func (e *BuildError) Error() string { return "build: " + e.Cause.Error() + "\n" + e.Output }

// Unwrap returns the cause.
func (e *BuildError) Unwrap() error { return e.Cause }

// BuildDaemon builds the daemon in dir and returns the path of the binary. It fails with
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
	// ended is closed once the process has exited and been waited for.
	ended chan struct{}
}

// Start starts a program with one argument and appends its output to a file.
func Start(binary, argument, logFile string) (*Process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(binary, argument)
	command.Stdout, command.Stderr = log, log
	// The kernel kills the process if the test ends without its clean-up.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = log.Close()
		return nil, err
	}
	p := &Process{command: command, log: log, ended: make(chan struct{})}
	go func() {
		defer close(p.ended)
		_ = command.Wait() // ProcessState has the exit code
		_ = log.Close()
	}()
	return p, nil
}

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) error { return p.command.Process.Signal(signal) }

// Ended returns a channel that is closed once the process has exited.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits for the exit and returns the exit code, or -1 if a signal ended the process.
func (p *Process) Wait() int {
	<-p.ended
	return p.command.ProcessState.ExitCode()
}

// Kill ends the process by SIGKILL and waits for its exit.
func (p *Process) Kill() {
	_ = p.command.Process.Kill() // fails if it has exited
	<-p.ended
}
