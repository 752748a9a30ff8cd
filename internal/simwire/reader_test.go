package simwire

import (
	"errors"
	"io"
	"strings"
	"testing"
)

// A malformed event is an error that names the event and the fault. The texts are part of the simulator's interface.
func TestReaderRejects(t *testing.T) {
	for _, c := range []struct{ name, line, want string }{
		{"no JSON", `odd`, "line: not a JSON object: invalid character 'o' looking for beginning of value"},
		{"cut off", `{"event_type":"Alarm"`, "line: not a JSON object: unexpected end of JSON input"},
		{"wrong type of a field", `{"event_type":"Alarm","I":"x"}`, "Alarm: field I cannot be string"},
		{"unknown event", `{"event_type":"Odd"}`, "Odd: unknown event"},
		{"no event type", `{}`, "line: unknown event"},
		{"missing number", `{"event_type":"Alarm","I":0}`, "Alarm: field Handle is missing"},
		{"missing text", `{"event_type":"Health","I":0,"CostTimeUs":1,"Ending":"x"}`, "Health: field Host is missing"},
		{"missing flag", `{"event_type":"Tenure","I":0,"Tbl":1}`, "Tenure: field Flag is missing"},
		{"missing weight", `{"event_type":"CheckedIn","I":0,"Px":0,"Area":"a"}`, "CheckedIn: field W is missing"},
		{"missing seed", `{"event_type":"Start","I":0,"Settings":{}}`, "Start: field Prng is missing"},
		{"missing settings", `{"event_type":"Start","I":0,"Prng":1}`, "Start: field Settings is missing"},
		{"number below 0", `{"event_type":"Alarm","I":-1,"Handle":1}`, "Alarm: field I is below 0"},
		{"weight below 0", `{"event_type":"StoredLine","I":0,"Tbl":1,"Host":"h","W":-1}`, "StoredLine: field W is below 0"},
		{"batch number", `{"event_type":"Turn","SimTimeUs":1}`, "Turn: field n is missing"},
		{"entry without a host", `{"event_type":"Endpoints","I":0,"How":1,"Number":1,"Records":[{"Phase":0}]}`,
			"Endpoints: an entry lacks Host, Phase, Area or W"},
		{"entry without a weight",
			`{"event_type":"Endpoints","I":0,"How":1,"Number":1,"Records":[{"Host":"h","Phase":1,"Area":"a"}]}`,
			"Endpoints: an entry lacks Host, Phase, Area or W"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var event Event
			err := NewReader(strings.NewReader(c.line + "\n")).Next(&event)
			if err == nil || err.Error() != c.want {
				t.Errorf("error %q, want %q", err, c.want)
			}
		})
	}
}

func TestReaderReadsToEnd(t *testing.T) {
	lines := []string{
		`{"event_type":"Turn","SimTimeUs":1,"n":1}`,
		`{"event_type":"Endpoints","I":0,"How":1,"Number":1,"Records":[{"Host":"h","Phase":0}]}`,
		`{"event_type":"NeighbourSays","I":0,"By":1,"Content":"c","Unknown":[1]}`,
		`{"event_type":"SliceLoad","I":0,"WindowUs":1,"Tbl":2,"Kind":"k","Errors":0,"Count":0}`,
		`{"event_type":"End"}`, // the last line may lack its newline
	}
	reader := NewReader(strings.NewReader(strings.Join(lines, "\n")))
	var event Event
	for _, line := range lines {
		if err := reader.Next(&event); err != nil {
			t.Errorf("%s: error %v, want none", line, err)
		}
	}
	if err := reader.Next(&event); !errors.Is(err, io.EOF) {
		t.Errorf("error %v at the end of the input, want io.EOF", err)
	}
	if event.Type != End {
		t.Errorf("event %q after the end of the input, want %q as before", event.Type, End)
	}
}

func TestReaderReturnsReadErrors(t *testing.T) {
	broken := errors.New("broken")
	reader := NewReader(io.MultiReader(strings.NewReader(`{"event_type":`), failingReader{broken}))
	if err := reader.Next(&Event{}); !errors.Is(err, broken) {
		t.Errorf("error %v, want %v", err, broken)
	}
}

type failingReader struct{ err error }

func (r failingReader) Read([]byte) (int, error) { return 0, r.err }

func TestEventValue(t *testing.T) {
	var event Event
	line := `{"event_type":"End","Report":{"good":0.5,"text":"x","null":null,"negative":-2,"huge":1e999}}` + "\n"
	if err := NewReader(strings.NewReader(line)).Next(&event); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name string
		want float64
	}{{"good", 0.5}, {"text", -1}, {"null", -1}, {"negative", -1}, {"huge", -1}, {"absent", -1}} {
		if got := event.Value(c.name); got != c.want {
			t.Errorf("value %s is %g, want %g", c.name, got, c.want)
		}
	}
}
