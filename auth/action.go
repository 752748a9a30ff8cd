package auth

import "slices"

// Action is the kind of a request. Its text is the action's name in the configuration.
type Action string

const (
	// Poll reads the routing tables of a proxy of a zone, and removes the proxy when it shuts down.
	Poll Action = "poll"
	// Stats posts the request stats of a proxy.
	Stats Action = "sums"
	// Report posts the load reports of a host.
	Report Action = "report"
	// See reads hosts, proxies, tables, events and status.
	See Action = "see"
	// Set changes the overrides of operators.
	Set Action = "set"
	// Follow reads the state of the controller, for a standby.
	Follow Action = "follow"
)

// actions holds all actions, in the order of the documentation.
var actions = []Action{Poll, Stats, Report, See, Set, Follow}

// ParseAction returns the action with a name, or an *UnknownActionError.
func ParseAction(name string) (Action, error) {
	action := Action(name)
	if !slices.Contains(actions, action) {
		return "", &UnknownActionError{Name: name}
	}
	return action, nil
}

// requiredCapture returns the capture that a rule's path must have to allow the action, or "" if none is required. The
// path of an identity that acts for a proxy or a host must name it.
func (a Action) requiredCapture() string {
	switch a {
	case Poll, Stats:
		return captureProxy
	case Report:
		return captureHost
	default:
		return ""
	}
}
