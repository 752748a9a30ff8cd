package simwire

// EventError is the reason why an event is malformed. Its text is part of the simulator's interface.
type EventError struct {
	Event  string // the event type, or "line" where there is none
	Reason string // the reason, with the name of the field
	Err    error  // the cause; nil: none
}

func (e *EventError) Error() string { return e.Event + ": " + e.Reason }

// Unwrap returns the cause, nil where there is none.
func (e *EventError) Unwrap() error { return e.Err }

// SettingError is the error of a setting that is missing or has an invalid value. Its text is part of the simulator's
// interface.
type SettingError struct {
	Setting string // name with its section, such as FamilyInfo.BareUs
	Reason  string
}

func (e *SettingError) Error() string { return Start + ": setting " + e.Setting + e.Reason }
