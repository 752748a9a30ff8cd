package operator

import "slices"

// State is the state that an operator sets on a host.
type State int

const (
	// Listed keeps the host in its state on the endpoint list.
	Listed State = iota
	// Draining gives the host no new traffic.
	Draining
	// Maintenance removes the host from the endpoint list.
	Maintenance
)

// stateNames are the names of the states in the APIs and logs, indexed by State.
var stateNames = [...]string{"listed", "drain", "maint"}

// readyName is another name for Listed in the APIs.
const readyName = "ready"

// IsValid reports whether a state that was stored or replicated is one of those above.
func (s State) IsValid() bool { return s >= Listed && s <= Maintenance }

// String returns the name of the state in the APIs.
func (s State) String() string { return stateNames[s] }

// ParseState returns the state with a name of the APIs, and whether the name is known.
func ParseState(name string) (State, bool) {
	if name == readyName {
		return Listed, true
	}
	index := slices.Index(stateNames[:], name)
	if index < 0 {
		return Listed, false
	}
	return State(index), true
}

// Command is a change that an operator requests for one host.
type Command struct {
	Host        string
	State       State
	Weight      float64    // replaces the listed weight; 0 drains the host; negative keeps the weight
	ClearWeight bool       // drops the weight override, so that the listed weight applies again
	KeepState   bool       // ignores State: the host keeps its current state override
	Relative    bool       // Weight is a multiple of the listed weight
	DurationMs  float64    // ms after which the override expires; 0: never
	Queue       bool       // queues the command, instead of rejecting it, where it may be applied later
	Operator    string     // name of the operator
	Add         *AddedHost // adds the host, which must not exist yet; nil: adds none
	Remove      bool       // removes a host that an operator added and that is in maintenance
}

// revertsToList reports whether the command sets its host back to the listed state without setting a weight.
func (c *Command) revertsToList() bool {
	return !c.KeepState && c.State == Listed && c.Weight < 0 && c.Add == nil
}

// AddedHost describes a host that an operator added to the endpoint list.
type AddedHost struct {
	Zone      string
	Weight    float64 // listed weight; 0: none given
	Cores     float64 // CPU cores; 0: unknown
	Speed     float64 // of a core, relative to the reference core
	StartedMs float64 // start of the current incarnation, for its slow start
}
