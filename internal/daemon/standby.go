package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/standby"
	"barleysail/state"
	"barleysail/state/statepb"
)

const (
	// leaderStateBytes is the largest response of the leader that is read.
	leaderStateBytes = 256 << 20

	// leaderPollWait is the Prefer field of a long poll of the leader's state, with the wait in seconds. The wait is
	// short, since each response renews the leader's lease.
	leaderPollWait = "wait=1"

	// leaderPollTimeout is the time after which a poll without a response fails.
	leaderPollTimeout = 3 * time.Second

	// leaderRetryDelay is the pause between a failed poll and the next one.
	leaderRetryDelay = 200 * time.Millisecond
)

// standbyReplica makes this controller the standby of a leader. It replicates the leader's state by long polls, and
// stores the endpoint list without passing it to the controller. It becomes active when a proxy polls that the leader
// does not serve, or when a proxy polls after the leader's lease has expired: the controller then gets the replicated
// state and the list, and serves from then on. As long as it hears of the leader, it goes on to follow the commands of
// the leader's operators.
type standbyReplica struct {
	loop          *controllerLoop
	log           zerolog.Logger
	client        *http1.Client
	leaderAddress string
	coldMs        float64

	mu             sync.Mutex
	lease          *standby.Standby
	replica        stateReplica
	followed       replicatedCommands    // once the standby is active
	endpoints      []controller.Endpoint // the last list
	endpointsKnown bool                  // a list was received
	lastError      string                // of the last poll of the leader; empty: it succeeded
	takeoverMs     float64               // duration of the takeover
}

// standbyConfig configures a standbyReplica.
type standbyConfig struct {
	leaderURL string
	tls       *tls.Config // nil: plain
	leaseMs   float64     // how long a response renews the leader's lease
	coldMs    float64     // guard.cold_ms: how long after its start a host is warming up
}

// StandbyReport is the standby's part of the status document.
type StandbyReport struct {
	Active        bool    `json:"live"`         // it is active
	LeaseValid    bool    `json:"fresh"`        // the leader's lease is valid
	Proxies       int     `json:"proxies"`      // proxies in the replicated state
	RejectedPolls int64   `json:"sent_back"`    // polls rejected because the leader serves the proxy
	LastError     string  `json:"failed"`       // why the last poll of the leader failed; empty: it succeeded
	TakeoverMs    float64 `json:"took_over_ms"` // duration of the takeover; 0: there was none
}

func newStandbyReplica(cfg standbyConfig, loop *controllerLoop, log zerolog.Logger) (*standbyReplica, error) {
	_, address, err := parseServiceURL("standby.of", cfg.leaderURL, cfg.tls != nil)
	if err != nil {
		return nil, err
	}
	return &standbyReplica{
		loop:          loop,
		log:           log,
		client:        &http1.Client{Limits: clientLimits(leaderStateBytes), TLS: cfg.tls},
		leaderAddress: address,
		coldMs:        cfg.coldMs,
		lease:         standby.New(standby.Limits{LeaseMs: cfg.leaseMs}),
	}, nil
}

// run polls the leader until the context ends. It continues while the standby is active, since the standby still
// rejects proxies that the leader serves.
func (s *standbyReplica) run(ctx context.Context) {
	for ctx.Err() == nil {
		err := s.pollLeader(ctx)
		s.recordPollResult(err)
		if err == nil {
			continue
		}
		select {
		case <-time.After(leaderRetryDelay):
		case <-ctx.Done():
		}
	}
}

// recordPollResult records the result of a poll for the report, and logs when polls begin to fail or to succeed again.
func (s *standbyReplica) recordPollResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failedBefore := s.lastError != ""
	s.lastError = ""
	if err != nil {
		s.lastError = err.Error()
	}
	switch {
	case err != nil && !failedBefore:
		s.log.Warn().Err(err).Msg("the leader is unreachable")
	case err == nil && failedBefore:
		s.log.Info().Msg("the leader is reachable")
	}
}

// pollLeader makes one long poll, applies the response to the replica, and renews the leader's lease.
func (s *standbyReplica) pollLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, leaderPollTimeout)
	defer cancel()
	response, err := s.client.Call(ctx, http.MethodGet, s.leaderAddress, statePath, s.pollHeader())
	if err != nil {
		return fmt.Errorf("following %s: %w", s.leaderAddress, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, err := s.replica.apply(response)
	if err != nil {
		return err
	}
	nowMs := s.loop.clock.Now()
	if !changed {
		s.lease.Heartbeat(nowMs)
		return nil
	}
	var connected []string
	for _, proxy := range s.replica.state.Proxies {
		connected = append(connected, proxy.Name)
	}
	s.lease.ObserveSessions(nowMs, connected)
	if active, _ := s.lease.Active(); active && s.endpointsKnown { // else the controller would reject every command
		s.followCommands()
	}
	return nil
}

func (s *standbyReplica) pollHeader() textproto.MIMEHeader {
	header := http1.Header("Prefer", leaderPollWait)
	header["A-IM"] = []string{stateChangeManipulation} // not in the canonical form, which would be A-Im
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica.tag != "" {
		header.Set("If-None-Match", s.replica.tag)
	}
	return header
}

// setEndpoints stores the endpoint list, and passes it to the controller if the standby is active; otherwise the
// takeover does. The error is that of controllerLoop.setEndpoints.
func (s *standbyReplica) setEndpoints(endpoints []controller.Endpoint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = endpoints
	s.endpointsKnown = true
	if active, _ := s.lease.Active(); active {
		return s.loop.setEndpoints(endpoints)
	}
	return nil
}

// shouldServe reports whether the standby serves a proxy that polls, and if not, after which time the proxy may poll
// again. The first proxy that is served makes the standby active.
func (s *standbyReplica) shouldServe(proxy string) (serve bool, retryAfter time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	activeBefore, _ := s.lease.Active()
	serve, retryAfterMs := s.lease.ShouldServe(s.loop.clock.Now(), proxy)
	if active, _ := s.lease.Active(); active && !activeBefore {
		s.takeOver()
	}
	return serve, milliseconds(retryAfterMs)
}

// takeOver passes the replicated state and the endpoint list to the controller. If either is rejected, the error is
// logged and the proxies are served without it. The caller holds the mutex.
func (s *standbyReplica) takeOver() {
	began := time.Now()
	replicated := s.replica.state
	if replicated == nil {
		replicated = &statepb.State{}
	}
	s.followed = newReplicatedCommands(replicated)
	restored, err := s.loop.restore(replicated, s.coldMs)
	if err != nil {
		s.log.Error().Err(err).Msg("taking over without the leader's state")
		restored = &state.Restored{}
	}
	if s.endpointsKnown {
		if err := s.loop.setEndpoints(s.endpoints); err != nil {
			s.log.Error().Err(err).Msg("the endpoint list was rejected at the takeover")
		}
	}
	s.takeoverMs = wholeMicroseconds(time.Since(began))
	s.log.Warn().
		Str("incarnation", restored.Incarnation).
		Float64("elapsed_ms", math.Round(restored.ElapsedMs)).
		Int("hosts", len(restored.Hosts)).
		Int("proxies", len(restored.Proxies)).
		Msg("taking over")
}

// report returns the standby's status, or nil if this controller is not a standby.
func (s *standbyReplica) report() *StandbyReport {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	active, _ := s.lease.Active()
	report := &StandbyReport{
		Active:        active,
		LeaseValid:    s.lease.LeaseValid(s.loop.clock.Now()),
		RejectedPolls: s.lease.RejectedPolls(),
		LastError:     s.lastError,
		TakeoverMs:    s.takeoverMs,
	}
	if s.replica.state != nil {
		report.Proxies = len(s.replica.state.Proxies)
	}
	return report
}
