package rehearse

import (
	"bufio"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"

	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/internal/config/configpb"
)

// controllerInstance is a running controller.
type controllerInstance interface {
	Addr() string
	Stop(ctx context.Context) error
	Kill()
}

// controllerProcess is a controller in a process of its own.
type controllerProcess struct {
	command *exec.Cmd
	address string
	exited  chan struct{}
}

// startControllerProcess starts a controller in a process of its own, so that its resource usage can be measured apart
// from that of the fake hosts and proxies. It reads the controller's address from the first line of its output.
func (s *scenario) startControllerProcess(controllerConfig *configpb.Config, name string) (controllerInstance, error) {
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(controllerConfig)
	if err != nil {
		return nil, fmt.Errorf("writing a controller's configuration: %w", err)
	}
	file := filepath.Join(s.tempDir, name+".textproto")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, fmt.Errorf("writing a controller's configuration: %w", err)
	}
	process := &controllerProcess{
		command: exec.Command(s.controllerProgram, "run", "--config", file, "--log-level", "warn"),
		exited:  make(chan struct{}),
	}
	process.command.Stderr = os.Stderr
	out, err := process.command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("starting a controller: %w", err)
	}
	if err := process.command.Start(); err != nil {
		return nil, fmt.Errorf("starting a controller: %w", err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	_, address, ok := strings.Cut(strings.TrimSpace(line), "http://")
	if err != nil {
		process.Kill()
		return nil, fmt.Errorf("starting a controller: reading its address from its output %q: %w", line, err)
	}
	if !ok {
		process.Kill()
		return nil, fmt.Errorf("starting a controller: its first line of output %q has no address http://HOST:PORT", line)
	}
	process.address = address
	go func() { process.command.Wait(); close(process.exited) }()
	return process, nil
}

// Addr returns the address of the HTTP API.
func (p *controllerProcess) Addr() string { return p.address }

// Stop asks the controller to shut down, and kills it when the context ends first.
func (p *controllerProcess) Stop(ctx context.Context) error {
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return nil
	case <-ctx.Done():
		p.Kill()
		return ctx.Err()
	}
}

// Kill kills the process.
func (p *controllerProcess) Kill() { p.command.Process.Kill() }
