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

// running is a steward of the day.
type running interface {
	Addr() string
	Stop(ctx context.Context) error
	Kill()
}

// process is a steward in a process of its own.
type process struct {
	command *exec.Cmd
	addr    string
	ended   chan struct{}
}

// apart starts a steward in a process of its own, so that what it needs can be told from what the stand-ins need.
func (d *day) apart(c *configpb.Config, name string) (running, error) {
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("writing a steward's configuration: %w", err)
	}
	file := filepath.Join(d.dir, name+".textproto")
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return nil, fmt.Errorf("writing a steward's configuration: %w", err)
	}
	p := &process{command: exec.Command(d.program, "run", "--config", file, "--log-level", "warn"), ended: make(chan struct{})}
	p.command.Stderr = os.Stderr
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("starting a steward: %w", err)
	}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("starting a steward: %w", err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	_, addr, ok := strings.Cut(strings.TrimSpace(line), "http://")
	if err != nil || !ok {
		p.Kill()
		return nil, fmt.Errorf("starting a steward: it says %q: %w", line, err)
	}
	p.addr = addr
	go func() { p.command.Wait(); close(p.ended) }()
	return p, nil
}

func (p *process) Addr() string { return p.addr }

// Stop lets the steward end, or ends it when the context does.
func (p *process) Stop(ctx context.Context) error {
	p.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
		return nil
	case <-ctx.Done():
		p.Kill()
		return ctx.Err()
	}
}

// Kill ends it at once.
func (p *process) Kill() { p.command.Process.Kill() }
