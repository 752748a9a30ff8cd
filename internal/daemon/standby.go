package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/standby"
	"barleysail/state"
	"barleysail/state/statepb"
)

// standbyReplica is a steward that stands by another: it follows what the first knows, keeps the list in hand, and becomes a
// steward with that knowledge when a proxy comes whom the first does not have.
type standbyReplica struct {
	loop          *controllerLoop
	log           zerolog.Logger
	client        *http1.Client
	leaderAddress string
	coldMs        float64

	mu             sync.Mutex
	lease          *standby.Standby
	replica        stateReplica
	endpoints      []controller.Endpoint
	endpointsKnown bool
	lastError      string
	takeoverMs     float64
}

// StandbyReport is how a standby stands.
type StandbyReport struct {
	Live    bool    `json:"live"`  // it serves
	Fresh   bool    `json:"fresh"` // the first is heard
	Proxies int     `json:"proxies"`
	Sent    int64   `json:"sent_back"`
	Failed  string  `json:"failed"` // why the first was not heard the last time
	TookMs  float64 `json:"took_over_ms"`
}

func newStandbyReplica(of string, secure *tls.Config, fresh, cold float64, c *controllerLoop, log zerolog.Logger) (*standbyReplica, error) {
	_, address, err := parseServiceURL("standby.of", of, secure != nil)
	if err != nil {
		return nil, err
	}
	return &standbyReplica{loop: c, log: log, leaderAddress: address, coldMs: cold, lease: standby.New(standby.Limits{LeaseMs: fresh}),
		client: &http1.Client{Limits: http1.Limits{Line: 8 << 10, Header: 32 << 10, Body: 256 << 20}, TLS: secure}}, nil
}

// run follows the first until the context ends, also once it serves: then for whom it may not.
func (s *standbyReplica) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.pollLeader(ctx); err != nil {
			s.noteResult(err)
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

func (s *standbyReplica) noteResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	if err != nil {
		text = err.Error()
	}
	if (text == "") != (s.lastError == "") {
		if err != nil {
			s.log.Warn().Err(err).Msg("the first steward is not heard")
		} else {
			s.log.Info().Msg("the first steward is heard")
		}
	}
	s.lastError = text
}

func (s *standbyReplica) pollLeader(ctx context.Context) error {
	h := http1.Header("Prefer", "wait=1")
	h["A-IM"] = []string{stateChangeManipulation}
	s.mu.Lock()
	if s.replica.tag != "" {
		h.Set("If-None-Match", s.replica.tag)
	}
	s.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := s.client.Call(limit, "GET", s.leaderAddress, "/v1/state", h)
	if err != nil {
		return fmt.Errorf("following %s: %w", s.leaderAddress, err)
	}
	s.mu.Lock()
	news, err := s.replica.apply(r)
	now := s.loop.clock.Now()
	if err == nil && news {
		var has []string
		for _, p := range s.replica.state.Proxies {
			has = append(has, p.Name)
		}
		s.lease.ObserveSessions(now, has)
	} else if err == nil {
		s.lease.Heartbeat(now)
	}
	s.mu.Unlock()
	if err == nil {
		s.noteResult(nil)
	}
	return err
}

// setEndpoints takes the list: into hand until somebody is served.
func (s *standbyReplica) setEndpoints(entries []controller.Endpoint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints, s.endpointsKnown = entries, true
	if live, _ := s.lease.Active(); live {
		return s.loop.setEndpoints(entries)
	}
	return nil
}

// shouldServe tells whether a proxy that polls may be served; with the first that is, the steward begins with what is known.
func (s *standbyReplica) shouldServe(proxy string) (ok bool, again time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, _ := s.lease.Active()
	ok, after := s.lease.ShouldServe(s.loop.clock.Now(), proxy)
	if live, _ := s.lease.Active(); live && !was {
		s.takeOver()
	}
	return ok, milliseconds(after)
}

func (s *standbyReplica) takeOver() {
	began := time.Now()
	kept := s.replica.state
	if kept == nil {
		kept = &statepb.State{}
	}
	r, err := s.loop.restore(kept, s.coldMs)
	if err != nil {
		s.log.Error().Err(err).Msg("beginning without what the first knew")
		r = &state.Restored{}
	}
	if s.endpointsKnown {
		if err := s.loop.setEndpoints(s.endpoints); err != nil {
			s.log.Error().Err(err).Msg("the list was refused")
		}
	}
	s.takeoverMs = float64(time.Since(began).Microseconds()) / 1000
	s.log.Warn().Str("life", r.Incarnation).Float64("passed_ms", math.Round(r.ElapsedMs)).Int("hosts", len(r.Hosts)).Int("proxies", len(r.Proxies)).Msg("taking over")
}

func (s *standbyReplica) report() *StandbyReport {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	live, _ := s.lease.Active()
	r := &StandbyReport{Live: live, Fresh: s.lease.LeaseValid(s.loop.clock.Now()), Sent: s.lease.RejectedPolls(), Failed: s.lastError, TookMs: s.takeoverMs}
	if s.replica.state != nil {
		r.Proxies = len(s.replica.state.Proxies)
	}
	return r
}
