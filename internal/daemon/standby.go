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

// standing is a steward that stands by another: it follows what the first knows, keeps the list in hand, and becomes a
// steward with that knowledge when a proxy comes whom the first does not have.
type standing struct {
	core    *core
	log     zerolog.Logger
	client  *http1.Client
	address string
	cold    float64

	mu     sync.Mutex
	by     *standby.Standby
	from   followed
	list   []controller.Endpoint
	listed bool
	failed string
	tookMs float64
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

func newStanding(of string, secure *tls.Config, fresh, cold float64, c *core, log zerolog.Logger) (*standing, error) {
	_, address, err := serviceOf("standby.of", of, secure != nil)
	if err != nil {
		return nil, err
	}
	return &standing{core: c, log: log, address: address, cold: cold, by: standby.New(standby.Limits{LeaseMs: fresh}),
		client: &http1.Client{Limits: http1.Limits{Line: 8 << 10, Header: 32 << 10, Body: 256 << 20}, TLS: secure}}, nil
}

// run follows the first until the context ends, also once it serves: then for whom it may not.
func (s *standing) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := s.follow(ctx); err != nil {
			s.note(err)
			select {
			case <-time.After(200 * time.Millisecond):
			case <-ctx.Done():
			}
		}
	}
}

func (s *standing) note(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := ""
	if err != nil {
		text = err.Error()
	}
	if (text == "") != (s.failed == "") {
		if err != nil {
			s.log.Warn().Err(err).Msg("the first steward is not heard")
		} else {
			s.log.Info().Msg("the first steward is heard")
		}
	}
	s.failed = text
}

func (s *standing) follow(ctx context.Context) error {
	h := http1.Header("Prefer", "wait=1")
	h["A-IM"] = []string{manipulate}
	s.mu.Lock()
	if s.from.tag != "" {
		h.Set("If-None-Match", s.from.tag)
	}
	s.mu.Unlock()
	limit, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	r, err := s.client.Call(limit, "GET", s.address, "/v1/state", h)
	if err != nil {
		return fmt.Errorf("following %s: %w", s.address, err)
	}
	s.mu.Lock()
	news, err := s.from.take(r)
	now := s.core.clock.Now()
	if err == nil && news {
		var has []string
		for _, p := range s.from.state.Proxies {
			has = append(has, p.Name)
		}
		s.by.ObserveSessions(now, has)
	} else if err == nil {
		s.by.Heartbeat(now)
	}
	s.mu.Unlock()
	if err == nil {
		s.note(nil)
	}
	return err
}

// took takes the list: into hand until somebody is served.
func (s *standing) took(entries []controller.Endpoint) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list, s.listed = entries, true
	if live, _ := s.by.Active(); live {
		return s.core.listed(entries)
	}
	return nil
}

// may tells whether a proxy that polls may be served; with the first that is, the steward begins with what is known.
func (s *standing) may(proxy string) (ok bool, again time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, _ := s.by.Active()
	ok, after := s.by.ShouldServe(s.core.clock.Now(), proxy)
	if live, _ := s.by.Active(); live && !was {
		s.takeOver()
	}
	return ok, ms(after)
}

func (s *standing) takeOver() {
	began := time.Now()
	kept := s.from.state
	if kept == nil {
		kept = &statepb.State{}
	}
	r, err := s.core.recall(kept, s.cold)
	if err != nil {
		s.log.Error().Err(err).Msg("beginning without what the first knew")
		r = &state.Restored{}
	}
	if s.listed {
		if err := s.core.listed(s.list); err != nil {
			s.log.Error().Err(err).Msg("the list was refused")
		}
	}
	s.tookMs = float64(time.Since(began).Microseconds()) / 1000
	s.log.Warn().Str("life", r.Incarnation).Float64("passed_ms", math.Round(r.ElapsedMs)).Int("hosts", len(r.Hosts)).Int("proxies", len(r.Proxies)).Msg("taking over")
}

func (s *standing) report() *StandbyReport {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	live, _ := s.by.Active()
	r := &StandbyReport{Live: live, Fresh: s.by.LeaseValid(s.core.clock.Now()), Sent: s.by.RejectedPolls(), Failed: s.failed, TookMs: s.tookMs}
	if s.from.state != nil {
		r.Proxies = len(s.from.state.Proxies)
	}
	return r
}
