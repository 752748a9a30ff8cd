package daemon

import (
	"math"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"barleysail/controller"
	"barleysail/operator"
	"barleysail/state/statepb"
)

// replicatedCommands are the overrides and the queued commands of the leader's operators that an active standby has
// passed to its controller.
type replicatedCommands struct {
	overrides map[string]*statepb.Setting // by host
	queue     []*statepb.QueuedCommand
}

// newReplicatedCommands returns the commands of a replicated state. It leaves out those with an unknown state, which a
// newer leader may have.
func newReplicatedCommands(replicated *statepb.State) replicatedCommands {
	commands := replicatedCommands{overrides: map[string]*statepb.Setting{}}
	for _, override := range replicated.Settings {
		if operator.State(override.State).IsValid() {
			commands.overrides[override.Host] = override
		}
	}
	for _, queued := range replicated.Queue {
		if operator.State(queued.State).IsValid() {
			commands.queue = append(commands.queue, queued)
		}
	}
	return commands
}

// followCommands passes the commands to the controller that the leader's operators have given since the last call. A
// command that the controller rejects is logged. The caller holds the mutex.
func (s *standbyReplica) followCommands() {
	next := newReplicatedCommands(s.replica.state)
	for _, command := range s.followed.commandsUntil(next, wallClockMs()) {
		if _, err := s.loop.applyOverrides([]operator.Command{command}); err != nil {
			s.log.Error().Err(err).Str("host", command.Host).Msg("a command of the leader's operators was rejected")
		}
	}
	s.followed = next
}

// commandsUntil returns the commands that lead from the replicated ones to the next ones, at an instant of the wall
// clock.
func (c *replicatedCommands) commandsUntil(next replicatedCommands, wallMs float64) []operator.Command {
	var commands []operator.Command
	for host, before := range c.overrides {
		if next.overrides[host] == nil {
			commands = append(commands, revertCommand(before))
		}
	}
	for host, override := range next.overrides {
		before := c.overrides[host]
		if !proto.Equal(before, override) {
			commands = append(commands, overrideCommand(before, override, wallMs))
		}
	}
	slices.SortFunc(commands, func(a, b operator.Command) int { return strings.Compare(a.Host, b.Host) })
	for _, queued := range next.queue {
		isSame := func(known *statepb.QueuedCommand) bool { return proto.Equal(known, queued) }
		if !slices.ContainsFunc(c.queue, isSame) {
			commands = append(commands, controller.QueuedCommand(queued))
		}
	}
	return commands
}

// overrideCommand returns the command that sets a replicated override; before is the one that it replaces, or nil.
func overrideCommand(before, override *statepb.Setting, wallMs float64) operator.Command {
	command := operator.Command{
		Host:        override.Host,
		State:       operator.State(override.State),
		Weight:      unchangedWeight,
		ClearWeight: override.Weight == 0 && override.Part == 0,
		Queue:       true,
		Operator:    override.By,
	}
	if override.Weight > 0 {
		command.Weight = override.Weight
	} else if override.Part > 0 {
		command.Weight = override.Part
		command.Relative = true
	}
	if override.Until > 0 {
		command.DurationMs = math.Max(override.Until-wallMs, minRemainingMs)
	}
	if before == nil {
		command.Add = controller.AddedHost(override.Added)
	}
	return command
}

// minRemainingMs is the least duration of a replicated override, which 0 would make unlimited.
const minRemainingMs = 1

// revertCommand returns the command that drops an override.
func revertCommand(override *statepb.Setting) operator.Command {
	return operator.Command{
		Host:        override.Host,
		Weight:      unchangedWeight,
		ClearWeight: true,
		Remove:      override.Added != nil,
		Operator:    override.By,
	}
}
