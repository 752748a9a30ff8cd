package runtimeapi

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"

	"barleysail/controller"
	"barleysail/operator"
)

// defaultOperator is the operator of a command where the socket does not name one.
const defaultOperator = "socket"

// keepWeight is the weight of a command that leaves a host's weight unchanged.
const keepWeight = -1

// msPerSecond converts the API's seconds to milliseconds.
const msPerSecond = 1000

const (
	errServerRequired = commandError("Require 'backend/server'.")
	errNoSuchBackend  = commandError("No such backend.")
	errNoSuchServer   = commandError("No such server.")
	errServerExists   = commandError("Already exists a server with the same name in backend.")
	errServerName     = commandError("A server's name is its <addr>:<port> here.")
	errAddArguments   = commandError("'server' expects <name> and <addr>[:<port>] as arguments.")
	errAddWeight      = commandError("'weight' expects a number from 1 to 256.")
	errWeightRequired = commandError("Require <weight> or <weight%>.")
	errWeightRange    = commandError("Absolute weight can only be between 0 and 256 inclusive.")
	errDrainArguments = commandError("'drain server' only supports 'wait' and 'for'.")
	errDrainDuration  = commandError("'for' expects a number of seconds.")
	errSetState       = commandError("'set server <srv> state' expects 'ready', 'drain' and 'maint'.")
	errSetArguments   = commandError("'set server <srv>' only supports 'state' and 'weight'.")
)

// findServer returns the host that the first argument, backend/server, names. Its error is a commandError.
func (s *session) findServer(args []string) (controller.HostInfo, error) {
	if len(args) == 0 {
		return controller.HostInfo{}, errServerRequired
	}
	backend, name, found := strings.Cut(args[0], "/")
	if !found || name == "" {
		return controller.HostInfo{}, errServerRequired
	}
	if !slices.Contains(s.server.controller.Status().Classes, backend) {
		return controller.HostInfo{}, errNoSuchBackend
	}
	host, found := s.server.controller.Host(name)
	if !found {
		return controller.HostInfo{}, errNoSuchServer
	}
	return host, nil
}

// applyCommand passes a command to the controller and returns the answer to the client. A rejection becomes a
// commandError.
func (s *session) applyCommand(command operator.Command) (string, error) {
	if command.Operator == "" {
		command.Operator = defaultOperator
	}
	queued, err := s.server.controller.ApplyCommands(command)
	var rejected *operator.RejectedError
	if errors.As(err, &rejected) {
		return "", commandError("Refused: " + rejected.Reason + ".")
	}
	if err != nil {
		return "", err
	}
	if queued {
		return "Waits for its turn.\n", nil
	}
	return "", nil
}

// setState returns the run function of a command that sets the state of a server.
func setState(state operator.State) func(s *session, args []string) (string, error) {
	return func(s *session, args []string) (string, error) {
		host, err := s.findServer(args)
		if err != nil {
			return "", err
		}
		return s.applyCommand(operator.Command{Host: host.Host, State: state, Weight: keepWeight})
	}
}

// drainServer drains a server. With the option wait the command is queued if the controller cannot apply it yet. The
// option for ends the drain after a number of seconds.
func (s *session) drainServer(args []string) (string, error) {
	host, err := s.findServer(args)
	if err != nil {
		return "", err
	}
	command := operator.Command{Host: host.Host, State: operator.Draining, Weight: keepWeight}
	for i := 1; i < len(args); i++ {
		switch {
		case args[i] == "wait":
			command.Queue = true
		case args[i] == "for" && i+1 < len(args):
			i++
			seconds, err := strconv.ParseFloat(args[i], 64)
			if err != nil || !(seconds > 0) { // also where it is NaN
				return "", errDrainDuration
			}
			command.DurationMs = seconds * msPerSecond
		default:
			return "", errDrainArguments
		}
	}
	return s.applyCommand(command)
}

// getWeight returns the published weight and the base weight of a server.
func (s *session) getWeight(args []string) (string, error) {
	host, err := s.findServer(args)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%d (initial %d)\n", apiWeight(host.Weight), apiWeight(host.BaseWeight)), nil
}

// setWeight sets the weight of a server. A weight of zero drains it.
func (s *session) setWeight(args []string) (string, error) {
	host, err := s.findServer(args)
	if err != nil {
		return "", err
	}
	if len(args) < 2 {
		return "", errWeightRequired
	}
	weight, relative, ok := parseWeight(args[1])
	if !ok {
		return "", errWeightRange
	}
	command := operator.Command{Host: host.Host, Weight: weight, Relative: relative, KeepState: true}
	if weight == 0 {
		command.KeepState = false
		command.State = operator.Draining
	}
	return s.applyCommand(command)
}

// setServer sets the state or the weight of a server.
func (s *session) setServer(args []string) (string, error) {
	if _, err := s.findServer(args); err != nil {
		return "", err
	}
	if len(args) < 3 {
		return "", errSetArguments
	}
	server, property, value := args[0], args[1], args[2]
	switch property {
	case "weight":
		return s.setWeight([]string{server, value})
	case "state":
		state, ok := operator.ParseState(value)
		if !ok || value == operator.Listed.String() { // which the API calls ready
			return "", errSetState
		}
		return setState(state)(s, args)
	default:
		return "", errSetArguments
	}
}

// addServer adds a host to the endpoint list. The host is in maintenance until a command enables it.
func (s *session) addServer(args []string) (string, error) {
	if len(args) < 2 {
		return "", errAddArguments
	}
	if _, err := s.findServer(args); err == nil {
		return "", errServerExists
	} else if !errors.Is(err, errNoSuchServer) {
		return "", err
	}
	_, name, _ := strings.Cut(args[0], "/")
	address := args[1]
	if _, _, err := net.SplitHostPort(address); err != nil || name != address {
		return "", errServerName
	}
	added, err := s.parseAddedHost(args[2:])
	if err != nil {
		return "", err
	}
	command := operator.Command{Host: name, State: operator.Maintenance, Weight: keepWeight, Add: added}
	if _, err := s.applyCommand(command); err != nil {
		return "", err
	}
	return "New server registered.\n", nil
}

// parseAddedHost parses the options of add server. The default zone is the first of the configuration.
func (s *session) parseAddedHost(args []string) (*operator.AddedHost, error) {
	added := &operator.AddedHost{Weight: 1, Zone: s.server.controller.Status().Zones[0]}
	for i := 0; i < len(args); i++ {
		hasValue := i+1 < len(args)
		switch {
		case args[i] == "weight" && hasValue:
			i++
			weight, relative, ok := parseWeight(args[i])
			if !ok || relative || weight == 0 {
				return nil, errAddWeight
			}
			added.Weight = weight
		case args[i] == "zone" && hasValue:
			i++
			added.Zone = args[i]
		case args[i] == "check" || args[i] == "enabled":
			// Accepted since tools send them, but ignored: every host is checked, and a command enables it.
		default:
			return nil, commandError(fmt.Sprintf("'server' : unknown keyword '%s'.", args[i]))
		}
	}
	return added, nil
}

// deleteServer removes a host that addServer added from the endpoint list.
func (s *session) deleteServer(args []string) (string, error) {
	host, err := s.findServer(args)
	if err != nil {
		return "", err
	}
	command := operator.Command{Host: host.Host, State: operator.Maintenance, Weight: keepWeight, Remove: true}
	if _, err := s.applyCommand(command); err != nil {
		return "", err
	}
	return "Server deleted.\n", nil
}
