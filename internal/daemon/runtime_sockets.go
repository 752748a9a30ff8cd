package daemon

import (
	"errors"
	"fmt"
	"net"
	"os"

	"barleysail/internal/runtimeapi"
	"barleysail/internal/socketproxy"
)

// runtimeSocketMode is the file mode of a runtime socket: only the daemon's own user may connect.
const runtimeSocketMode = 0o600

// runtimeSocket is a socket on which operators send commands of the runtime API.
type runtimeSocket struct {
	listener net.Listener
	server   *runtimeapi.Server
}

// openRuntimeSockets opens the configured runtime sockets and serves them, each in a goroutine of its own. After an
// error closeRuntimeSockets closes those that are open.
func (d *Daemon) openRuntimeSockets() error {
	for _, settings := range d.config.Runtime {
		listener, err := listenRuntimeSocket(settings.Address)
		if err != nil {
			return fmt.Errorf("opening the runtime socket: %w", err)
		}
		level, _ := runtimeapi.ParseLevel(settings.Level) // the level is known: the configuration was validated
		server := runtimeapi.New(d.Operators(), runtimeapi.Config{
			Level:       level,
			Version:     d.version,
			AcceptError: func(err error) { d.log.Warn().Err(err).Msg("accepting a runtime connection failed") },
		})
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

// listenRuntimeSocket listens on unix:PATH or address:port. It replaces the file of a socket on which no program
// listens any more.
func listenRuntimeSocket(address string) (net.Listener, error) {
	network, path := socketproxy.ParseAddress(address)
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

// removeStaleSocket removes the file of a socket on which no program listens. It returns an error if a program does. A
// file that is not a socket is not removed: listening on its path then fails.
func removeStaleSocket(path string) error {
	if conn, err := net.Dial("unix", path); err == nil {
		inUse := fmt.Errorf("%s: another program is listening on the socket", path)
		return errors.Join(inUse, conn.Close())
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode()&os.ModeSocket == 0 {
		return nil
	}
	_ = os.Remove(path) // if this fails, listening fails as well, with an error that names the path
	return nil
}
