package simwire

// EventError says why an event is malformed. Its text is part of the simulator's interface.
type EventError struct {
	Event  string // the type, or "line" where the line does not tell it
	Reason string // with the field that is wrong
	Err    error  // the cause; nil: none besides the reason
}

func (e *EventError) Error() string { return e.Event + ": " + e.Reason }

// Unwrap returns the cause, nil where there is none.
func (e *EventError) Unwrap() error { return e.Err }

// SettingError says that a setting is absent or has a value that cannot be used. Its text is part of the simulator's
// interface.
type SettingError struct {
	Setting string // with its section, as in FamilyInfo.BareUs
	Reason  string
}

func (e *SettingError) Error() string { return Start + ": setting " + e.Setting + e.Reason }
