package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"

	"barleysail/internal/runtimeapi"
	"barleysail/internal/socketproxy"
)

// runtimeSocketMode lets only the daemon's own user connect to a runtime socket.
const runtimeSocketMode = 0o600

// runtimeSocket serves operators' commands on a socket of its own.
type runtimeSocket struct {
	listener net.Listener
	server   *runtimeapi.Server
}

// openRuntimeSockets opens the configured runtime sockets and serves them.
func (d *Daemon) openRuntimeSockets() error {
	for _, settings := range d.config.Runtime {
		listener, err := listenRuntimeSocket(settings.Address)
		if err != nil {
			return fmt.Errorf("opening the runtime socket: %w", err)
		}
		level, _ := runtimeapi.ParseLevel(settings.Level) // the configuration was checked: the level is known
		server := runtimeapi.New(d.Operators(), runtimeapi.Config{Level: level, Version: d.version})
		d.runtimeSockets = append(d.runtimeSockets, runtimeSocket{listener, server})
		d.servers.Go(func() {
			if err := server.Serve(listener); err != nil {
				d.log.Error().Err(err).Msg("accepting runtime connections failed")
			}
		})
	}
	return nil
}

// closeRuntimeSockets closes the sockets and their connections.
func (d *Daemon) closeRuntimeSockets() {
	for _, socket := range d.runtimeSockets {
		d.closeAndLog("runtime socket", socket.listener)
		socket.server.Close()
	}
}

// listenRuntimeSocket listens at unix:PATH or address:port. The file of a socket at which no program listens any
// more is replaced.
func listenRuntimeSocket(address string) (net.Listener, error) {
	network, path := socketproxy.Network(address)
	if network == "tcp" {
		return net.Listen(network, path)
	}
	if err := removeStaleSocket(path); err != nil {
		return nil, err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, runtimeSocketMode); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// removeStaleSocket removes a socket's file where no program listens at it; where one does, that is an error. A file
// that is no socket stays, and listening fails at it.
func removeStaleSocket(path string) error {
	if conn, err := net.Dial("unix", path); err == nil {
		inUse := fmt.Errorf("%s: another program listens there", path)
		return errors.Join(inUse, conn.Close())
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode()&os.ModeSocket == 0 {
		return nil
	}
	_ = os.Remove(path) // where this fails, listening fails as well, and its error names the path
	return nil
}
