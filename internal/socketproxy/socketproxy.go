// Package socketproxy controls proxies through their runtime sockets, for proxies that do not poll. For each proxy a
// [Driver] connects to its socket, reads the state of its servers, sends the commands that package publisher decides
// on, and polls the controller in the proxy's place. To the controller such a proxy is like any other: it has a
// session, gets paced updates and acknowledges them.
package socketproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"barleysail/controller"
	"barleysail/internal/haproxy"
	"barleysail/publisher"
)

// Controller is the part of a controller that a driver uses. Its methods must be safe for concurrent use.
type Controller interface {
	// Poll starts a long poll. deliver is called with its response.
	Poll(request controller.PollRequest, deliver func(controller.Response)) (id int64, err error)
	CancelPoll(proxy string, id int64)
	ObserveProxyStats(proxy string, stats controller.ProxyStats) (counted bool, err error)
	// HasEndpoint reports whether the host is on the endpoint list.
	HasEndpoint(host string) bool
	// NowMs returns the time of the controller's clock.
	NowMs() float64
}

// Config configures a Driver.
type Config struct {
	Proxy, Zone  string
	Address      string        // of the runtime socket: unix:PATH or address:port
	RequestRate  float64       // usual request rate of the proxy, in requests per second; 0: not given
	Incarnation  string        // of the controller
	DrainGraceMs float64       // time from the drain of a server to its removal
	CyclePeriod  time.Duration // time between two readings of the proxy's counters
	Timeout      time.Duration // for connecting, and for each response; default 2 s
	Log          func(text string)
}

const (
	defaultTimeout = 2 * time.Second

	// The servers' states are read once in this number of cycles.
	cyclesPerStateRead = 5

	// The delay before a reconnection doubles with each failure in a row. A connection that lasted for
	// stableConnectionTime resets it.
	minReconnectDelay    = 100 * time.Millisecond
	maxReconnectDelay    = 4 * time.Second
	maxDelayDoublings    = 6
	stableConnectionTime = 10 * time.Second

	longPollWaitMs     = 60000
	minPollInterval    = time.Second // between polls, while the proxy has not reached its target
	maxQueuedResponses = 4

	readBufferBytes  = 64 << 10
	maxResponseBytes = 16 << 20 // of the proxy's response to a command
)

// Driver controls one proxy through its runtime socket.
type Driver struct {
	config         Config
	controller     Controller
	updater        *publisher.ProxyUpdater
	counters       *publisher.Counters
	owner          *publisher.SocketOwner
	appliedTag     string // entity tag of the last tables that the proxy applied in full; polls acknowledge it
	lastLogMessage string // of logUnlessRepeated
}

// New returns a driver that is started by Run.
func New(target Controller, config Config) *Driver {
	if config.Timeout == 0 {
		config.Timeout = defaultTimeout
	}
	if config.Log == nil {
		config.Log = func(string) {}
	}
	return &Driver{
		config:     config,
		controller: target,
		updater:    publisher.NewProxyUpdater(config.DrainGraceMs),
		counters:   publisher.NewCounters(config.Incarnation),
		owner:      publisher.NewSocketOwner(config.Incarnation),
	}
}

// Run controls the proxy until the context ends. When the connection fails, it reconnects with exponential backoff.
// The delays are randomized, since many proxies may lose their connections at once.
func (d *Driver) Run(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		startTime := time.Now()
		err := d.runSession(ctx)
		d.updater.ConnectionLost()
		if ctx.Err() != nil {
			return
		}
		if time.Since(startTime) > stableConnectionTime {
			failures = 0
		}
		d.logUnlessRepeated(fmt.Sprintf("proxy %s: runtime socket failed, reconnecting: %v", d.config.Proxy, err))
		delay := min(minReconnectDelay<<min(failures, maxDelayDoublings), maxReconnectDelay)
		select {
		case <-time.After(time.Duration(float64(delay) * (0.5 + rand.Float64()))):
		case <-ctx.Done():
		}
	}
}

// ParseAddress splits unix:PATH or address:port into the network and the address that package net expects.
func ParseAddress(address string) (network, networkAddress string) {
	if path, ok := strings.CutPrefix(address, "unix:"); ok {
		return "unix", path
	}
	return "tcp", address
}

// logUnlessRepeated logs a message unless it equals the last one, so that a failure that repeats is logged once.
func (d *Driver) logUnlessRepeated(text string) {
	if text != d.lastLogMessage {
		d.lastLogMessage = text
		d.config.Log(text)
	}
}

// session is one connection to the proxy.
type session struct {
	*Driver
	conn      net.Conn
	input     *bufio.Reader
	responses chan controller.Response // of the controller, to polls
	pollID    int64                    // of the pending poll; 0: none
	lastPoll  time.Time
	targetTag string // entity tag of the tables in the controller's last response
}

// runSession connects to the proxy and controls it until the connection fails or the context ends. Each cycle it
// determines whether this controller owns the socket; only the owner controls the proxy.
func (d *Driver) runSession(ctx context.Context) error {
	network, address := ParseAddress(d.config.Address)
	dialer := net.Dialer{Timeout: d.config.Timeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return fmt.Errorf("connecting: %w", err)
	}
	defer closeConn(conn)
	stop := context.AfterFunc(ctx, func() { closeConn(conn) })
	defer stop()
	s := &session{
		Driver:    d,
		conn:      conn,
		input:     bufio.NewReaderSize(conn, readBufferBytes),
		responses: make(chan controller.Response, maxQueuedResponses),
	}
	defer s.cancelPoll()
	if _, err := s.execute("prompt"); err != nil {
		return err
	}
	return s.runCycles(ctx)
}

// cancelPoll cancels the pending poll, if there is one.
func (s *session) cancelPoll() {
	if s.pollID != 0 {
		s.controller.CancelPoll(s.config.Proxy, s.pollID)
		s.pollID = 0
	}
}

// runCycles runs a cycle each config.CyclePeriod until the connection fails or the context ends.
func (s *session) runCycles(ctx context.Context) error {
	ticker := time.NewTicker(s.config.CyclePeriod)
	defer ticker.Stop()
	wasOwner := false
	for cycle := 0; ; cycle++ {
		isOwner, err := s.checkOwnership()
		if err != nil {
			return err
		}
		if err := s.changeOwnership(wasOwner, isOwner); err != nil {
			return err
		}
		wasOwner = isOwner
		if isOwner {
			if err := s.controlProxy(cycle); err != nil {
				return err
			}
		}
		if err := s.awaitCycle(ctx, ticker.C, isOwner); err != nil {
			return err
		}
	}
}

// changeOwnership starts to control the proxy where this controller has become the owner of its socket, and stops where
// it is no longer.
func (s *session) changeOwnership(wasOwner, isOwner bool) error {
	switch {
	case isOwner && !wasOwner:
		s.logUnlessRepeated(fmt.Sprintf("proxy %s: now controlled through its runtime socket", s.config.Proxy))
		if err := s.readServers(); err != nil {
			return err
		}
		s.pollController()
	case wasOwner && !isOwner:
		s.logUnlessRepeated(fmt.Sprintf("proxy %s: another controller has taken over its runtime socket", s.config.Proxy))
		s.cancelPoll()
	}
	return nil
}

// controlProxy reports the proxy's statistics and updates its weights. In every cyclesPerStateRead-th cycle it reads
// the state of the proxy's servers first.
func (s *session) controlProxy(cycle int) error {
	if cycle%cyclesPerStateRead == cyclesPerStateRead-1 {
		if err := s.readServers(); err != nil {
			return err
		}
	}
	if err := s.reportStats(); err != nil {
		return err
	}
	return s.updateProxy()
}

// closeConn closes a connection. It ignores the error: the connection is not used again.
func closeConn(conn net.Conn) { _ = conn.Close() }

// awaitCycle waits for the next cycle. Until then it handles the controller's responses and, as the owner, sends the
// commands that become due.
func (s *session) awaitCycle(ctx context.Context, nextCycle <-chan time.Time, isOwner bool) error {
	for {
		deadline := time.NewTimer(time.Hour)
		if waitMs := s.updater.NextDeadlineMs() - s.controller.NowMs(); isOwner && !math.IsInf(waitMs, 1) {
			deadline.Reset(time.Duration(math.Max(waitMs, 1) * float64(time.Millisecond)))
		}
		select {
		case <-nextCycle:
			deadline.Stop()
			return nil
		case <-deadline.C:
		case response := <-s.responses:
			s.handleResponse(response)
		case <-ctx.Done():
			deadline.Stop()
			return ctx.Err()
		}
		deadline.Stop()
		if isOwner {
			if err := s.updateProxy(); err != nil {
				return err
			}
		}
	}
}

// execute sends a command to the proxy and returns the response, which the next prompt ends.
func (s *session) execute(command string) (string, error) {
	// A connection that is closed fails in the write that follows.
	_ = s.conn.SetDeadline(time.Now().Add(s.config.Timeout))
	if _, err := s.conn.Write([]byte(command + "\n")); err != nil {
		return "", fmt.Errorf("sending %.60q: %w", command, err)
	}
	var response strings.Builder
	for {
		part, err := s.input.ReadSlice('>')
		response.Write(part)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", fmt.Errorf("waiting for the response to %.60q: %w", command, err)
		}
		if response.Len() > maxResponseBytes {
			return "", fmt.Errorf("response to %.60q exceeds %d bytes", command, maxResponseBytes)
		}
		if text := response.String(); text == ">" || strings.HasSuffix(text, "\n>") {
			_, _ = s.input.Discard(1) // the space of the prompt; an error recurs in the next read
			return strings.Trim(strings.TrimSuffix(text, ">"), "\n"), nil
		}
	}
}

// checkOwnership determines whether this controller owns the proxy's socket, and renews or takes over the ownership
// where it is due. A proxy that does not support variables is owned by each controller that is configured for it.
func (s *session) checkOwnership() (isOwner bool, err error) {
	response, err := s.execute("get var proc." + publisher.OwnerVariable)
	if err != nil {
		return false, err
	}
	value := ""
	if _, rest, ok := strings.Cut(response, "value=<"); ok {
		value, _, _ = strings.Cut(rest, ">")
	} else if strings.Contains(strings.ToLower(response), "unknown command") {
		return true, nil
	}
	isOwner, newValue := s.owner.Observe(value)
	if newValue != "" {
		_, err = s.execute("set var proc." + publisher.OwnerVariable + " str(" + newValue + ")")
	}
	return isOwner, err
}

// readServers reads the state of the proxy's servers.
func (s *session) readServers() error {
	response, err := s.execute("show servers state")
	if err != nil {
		return err
	}
	servers, err := haproxy.ParseState(response)
	if err != nil {
		return err
	}
	if changes := s.updater.ObserveServers(s.controller.NowMs(), servers); changes > 0 {
		s.config.Log(fmt.Sprintf("proxy %s: %d servers were changed by another client of the runtime socket",
			s.config.Proxy, changes))
	}
	return nil
}

// reportStats reads the proxy's counters and reports the request stats since the last reading to the controller.
func (s *session) reportStats() error {
	response, err := s.execute("show stat")
	if err != nil {
		return err
	}
	rows, err := haproxy.ParseCSV(response)
	if err != nil {
		return err
	}
	if stats, ok := s.counters.Read(s.controller.NowMs(), rows, s.controller.HasEndpoint); ok {
		// The controller rejects reports until the proxy is connected. A rejected report is not repeated.
		_, _ = s.controller.ObserveProxyStats(s.config.Proxy, stats)
	}
	return nil
}

// pollController starts a poll in the proxy's place. It acknowledges the tables that the proxy has applied.
func (s *session) pollController() {
	request := controller.PollRequest{
		Proxy:       s.config.Proxy,
		Zone:        s.config.Zone,
		RequestRate: s.config.RequestRate,
		WaitMs:      longPollWaitMs,
	}
	if s.appliedTag != "" {
		request.Tags = []string{s.appliedTag}
	}
	id, err := s.controller.Poll(request, func(response controller.Response) {
		select {
		case s.responses <- response:
		default: // the queue is full; the next poll gets the tables
		}
	})
	if err != nil {
		s.logUnlessRepeated(fmt.Sprintf("proxy %s: poll rejected by the controller: %v", s.config.Proxy, err))
		return
	}
	s.pollID, s.lastPoll = id, time.Now()
}

// handleResponse makes the tables in the controller's response the target of the proxy.
func (s *session) handleResponse(response controller.Response) {
	s.pollID, s.targetTag = 0, response.Tag
	if response.Kind != controller.NotModified {
		s.updater.SetTarget(response.Tables())
	}
}

// updateProxy sends the commands that are due. Once the proxy has reached its target, the next poll acknowledges the
// tables. Until then polls keep the proxy connected to the controller but acknowledge nothing new.
func (s *session) updateProxy() error {
	for {
		select {
		case response := <-s.responses:
			s.handleResponse(response)
		default:
		}
		command, ok := s.updater.NextCommand(s.controller.NowMs())
		if !ok {
			break
		}
		response, err := s.execute(command)
		if err != nil {
			return err
		}
		if err := s.updater.ObserveResponse(s.controller.NowMs(), response); err != nil {
			s.config.Log(fmt.Sprintf("proxy %s: command rejected: %v", s.config.Proxy, err))
		}
		if s.pollID == 0 && time.Since(s.lastPoll) > minPollInterval {
			s.pollController()
		}
	}
	if s.targetTag != "" && s.updater.Converged(s.controller.NowMs()) {
		s.appliedTag = s.targetTag
	}
	if s.pollID == 0 && (s.appliedTag == s.targetTag || time.Since(s.lastPoll) > minPollInterval) {
		s.pollController()
	}
	return nil
}
