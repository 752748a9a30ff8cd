package simwire

import "fmt"

// field is a field that an event type may require.
type field struct {
	name    string
	present func(*Event) bool
	number  func(*Event) *int64 // of a number that must be 0 or more; nil for other fields
}

func numberField(name string, number func(*Event) *int64) field {
	return field{name, func(e *Event) bool { return number(e) != nil }, number}
}

func textField(name string, text func(*Event) *string) field {
	return field{name, func(e *Event) bool { return text(e) != nil }, nil}
}

var (
	simTimeField  = numberField("SimTimeUs", func(e *Event) *int64 { return e.SimTimeUs })
	turnField     = numberField("n", func(e *Event) *int64 { return e.Turn })
	instanceField = numberField("I", func(e *Event) *int64 { return e.I })
	howField      = numberField("How", func(e *Event) *int64 { return e.How })
	versionField  = numberField("Number", func(e *Event) *int64 { return e.Number })
	proxyField    = numberField("Px", func(e *Event) *int64 { return e.Px })
	countField    = numberField("Count", func(e *Event) *int64 { return e.Count })
	errorsField   = numberField("Errors", func(e *Event) *int64 { return e.Errors })
	windowField   = numberField("WindowUs", func(e *Event) *int64 { return e.WindowUs })
	costTimeField = numberField("CostTimeUs", func(e *Event) *int64 { return e.CostTimeUs })
	handleField   = numberField("Handle", func(e *Event) *int64 { return e.Handle })
	byField       = numberField("By", func(e *Event) *int64 { return e.By })
	tableField    = numberField("Tbl", func(e *Event) *int64 { return e.Tbl })

	areaField    = textField("Area", func(e *Event) *string { return e.Area })
	kindField    = textField("Kind", func(e *Event) *string { return e.Kind })
	hostField    = textField("Host", func(e *Event) *string { return e.Host })
	endingField  = textField("Ending", func(e *Event) *string { return e.Ending })
	contentField = textField("Content", func(e *Event) *string { return e.Content })

	seedField     = field{"Prng", func(e *Event) bool { return e.Prng != nil }, nil}
	settingsField = field{"Settings", func(e *Event) bool { return len(e.Settings) > 0 }, nil}
	weightField   = field{"W", func(e *Event) bool { return e.W != nil }, nil} // validate checks its range
	flagField     = field{"Flag", func(e *Event) bool { return e.Flag != nil }, nil}
)

// requiredFields are the fields that each event type must have, in the order in which they are checked.
var requiredFields = map[string][]field{
	Turn:         {simTimeField, turnField},
	End:          {},
	Start:        {instanceField, seedField, settingsField},
	Endpoints:    {instanceField, howField, versionField},
	CheckedIn:    {instanceField, proxyField, areaField, weightField, flagField},
	Disconnected: {instanceField, proxyField},
	Installed:    {instanceField, proxyField, versionField, costTimeField},
	Stats: {instanceField, windowField, errorsField, hostField, costTimeField, areaField,
		countField},
	Arrivals:   {instanceField, proxyField, kindField, countField, errorsField, windowField},
	Health:     {instanceField, hostField, costTimeField, endingField},
	Alarm:      {instanceField, handleField},
	CrashNow:   {instanceField},
	Tenure:     {instanceField, tableField, flagField},
	StoredLine: {instanceField, tableField, hostField, weightField},
	SliceLoad:  {instanceField, windowField, tableField, kindField, errorsField, countField},
	Neighbour:  {instanceField, byField, contentField},
}

// validate returns an *EventError unless an event has a known type and the fields that the type requires, within
// their ranges.
func (e *Event) validate() error {
	required, known := requiredFields[e.Type]
	if !known {
		return e.malformed("unknown event")
	}
	for i := range required {
		if err := e.validateField(&required[i]); err != nil {
			return err
		}
	}
	if e.W != nil && *e.W < 0 {
		return e.malformed("field W is below 0")
	}
	for i := range e.Records {
		if !e.Records[i].complete() {
			return e.malformed("an entry lacks Host, Phase, Area or W")
		}
	}
	return nil
}

func (e *Event) validateField(required *field) error {
	if !required.present(e) {
		return e.malformed(fmt.Sprintf("field %s is missing", required.name))
	}
	if required.number != nil && *required.number(e) < 0 {
		return e.malformed(fmt.Sprintf("field %s is below 0", required.name))
	}
	return nil
}

// complete reports whether an entry has its required fields; a removed host needs no zone and weight.
func (r *Record) complete() bool {
	if r.Host == nil || r.Phase == nil {
		return false
	}
	return *r.Phase == 0 || (r.Area != nil && r.W != nil)
}

// malformed returns the error of a malformed event.
func (e *Event) malformed(reason string) *EventError {
	return &EventError{Event: e.typeOrLine(), Reason: reason}
}

// typeOrLine returns the event type as errors name it: "line" for an event without a type.
func (e *Event) typeOrLine() string {
	if e.Type == "" {
		return "line"
	}
	return e.Type
}
