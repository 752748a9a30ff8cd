package operator

// Override holds the values that replace those of the endpoint list for one host.
type Override struct {
	State       State
	Weight      float64    // replaces the listed weight; 0: no absolute weight is set
	WeightRatio float64    // multiplies the listed weight; 0: no relative weight is set
	Added       *AddedHost // the host itself, if an operator added it
	Operator    string     // name of the operator who set it
	SetAtMs     float64    // instant of the last change
	ExpiresMs   float64    // 0: never
}

// isEmpty reports whether no value is set, so that the override can be dropped.
func (o *Override) isEmpty() bool {
	return o.State == Listed && o.Weight == 0 && o.WeightRatio == 0 && o.Added == nil
}

// hasExpired reports whether the override has expired at an instant.
func (o *Override) hasExpired(nowMs float64) bool { return o.ExpiresMs > 0 && o.ExpiresMs <= nowMs }

// updatedBy returns the override after a command is applied to it.
func (o Override) updatedBy(command Command, nowMs float64) Override {
	if !command.KeepState {
		o.State = command.State
	}
	o.Operator = command.Operator
	o.SetAtMs = nowMs
	o.ExpiresMs = 0
	if command.DurationMs > 0 {
		o.ExpiresMs = nowMs + command.DurationMs
	}
	switch {
	case command.ClearWeight:
		o.Weight = 0
		o.WeightRatio = 0
	case command.Weight == 0: // in HAProxy's management guide, too, a server with a weight of 0 gets no new traffic
		o.State = Draining
	case command.Weight > 0 && command.Relative:
		o.Weight = 0
		o.WeightRatio = command.Weight
	case command.Weight > 0:
		o.Weight = command.Weight
		o.WeightRatio = 0
	}
	if command.Add != nil {
		o.Added = command.Add
	}
	return o
}
