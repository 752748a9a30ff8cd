package operator

import (
	"maps"
	"math"
	"slices"
)

// OverrideStore holds the overrides by host, and the queue of commands that could not be applied yet. It is not safe
// for concurrent use.
type OverrideStore struct {
	overrides            map[string]Override
	pending              []Command // the queue, first in first out
	lastPendingAppliedMs float64   // when a queued command was last applied
}

// NewOverrideStore returns an empty store.
func NewOverrideStore() *OverrideStore {
	return &OverrideStore{overrides: map[string]Override{}, lastPendingAppliedMs: math.Inf(-1)}
}

// Overrides returns a copy of the overrides, by host.
func (s *OverrideStore) Overrides() map[string]Override { return maps.Clone(s.overrides) }

// Restore sets the override of a host from the stored state of an earlier incarnation.
func (s *OverrideStore) Restore(host string, override Override) {
	if !override.isEmpty() {
		s.overrides[host] = override
	}
}

// PendingCommands returns a copy of the queue, first in first out.
func (s *OverrideStore) PendingCommands() []Command { return slices.Clone(s.pending) }

// RestorePending adds commands that an earlier incarnation has queued. None is applied before the drain grace is over:
// until then the proxies may still route by the tables of that incarnation.
func (s *OverrideStore) RestorePending(nowMs float64, commands []Command) {
	s.pending = append(s.pending, commands...)
	s.lastPendingAppliedMs = nowMs
}

// Override returns the override of a host, and whether it has one.
func (s *OverrideStore) Override(host string) (Override, bool) {
	override, found := s.overrides[host]
	return override, found
}

// HasWeight reports whether a weight is set on a host.
func (s *OverrideStore) HasWeight(host string) bool {
	override := s.overrides[host]
	return override.Weight > 0 || override.WeightRatio > 0
}

// Pending returns the last queued command of a host, and whether there is one.
func (s *OverrideStore) Pending(host string) (Command, bool) {
	for _, command := range slices.Backward(s.pending) {
		if command.Host == host {
			return command, true
		}
	}
	return Command{}, false
}

// Apply applies a command at once. A command that would break a rule is queued where Command.Queue is set and it may
// be applied later; Apply then returns true. Any other is rejected with a *RejectedError.
func (s *OverrideStore) Apply(view View, command Command) (queued bool, err error) {
	if err := s.validate(&view, &command); err != nil {
		return false, err
	}
	if command.Remove || command.revertsToList() {
		s.dropPending(command.Host)
	}
	err = checkRules(&view, &command)
	if err == nil {
		s.applyNow(view.NowMs, command)
		return false, nil
	}
	if command.Queue && s.canSucceedLater(&view, &command) {
		s.pending = append(s.pending, command)
		return true, nil
	}
	return false, err
}

// ApplyAll queues commands that drain several hosts, such as those of a zone, so that they are applied one by one. It
// rejects all of them with a *RejectedError where one is invalid or the last of them could never be applied. commands
// must not be empty.
func (s *OverrideStore) ApplyAll(view View, commands []Command) error {
	for i := range commands {
		if err := s.validate(&view, &commands[i]); err != nil {
			return err
		}
	}
	if err := s.checkRemainingHosts(&view, commands); err != nil {
		return err
	}
	s.pending = append(s.pending, commands...)
	return nil
}

// applyNow applies a command to the override of its host without checking it.
func (s *OverrideStore) applyNow(nowMs float64, command Command) {
	override := s.overrides[command.Host].updatedBy(command, nowMs)
	if command.Remove || override.isEmpty() {
		delete(s.overrides, command.Host)
		return
	}
	s.overrides[command.Host] = override
}

// dropPending removes the queued commands of a host.
func (s *OverrideStore) dropPending(host string) {
	s.pending = slices.DeleteFunc(s.pending, func(command Command) bool { return command.Host == host })
}
