package simwire

import (
	"errors"
	"strings"
	"testing"
)

func TestWriter(t *testing.T) {
	var out strings.Builder
	writer := NewWriter(&out)
	writer.Weigh(1, 2, "h:1", 1.0/3)
	writer.AttachTable(1, 5, 2, 3)
	writer.Throttle(1, 2, 3, 0.25, 1)
	writer.Seal(1, 7)
	writer.Probe(1, `quoted "host"`)
	writer.After(1, 1500000, 1)
	writer.Subscribe(1)
	writer.Remark(1, "text")
	if err := writer.Done(9); err != nil {
		t.Fatal(err)
	}
	want := `{"event_type":"Weigh","I":1,"Tbl":2,"Host":"h:1","W":0.333333}
{"event_type":"AttachTable","I":1,"Classes":3,"Px":5,"Tbl":2}
{"event_type":"Throttle","I":1,"Classes":3,"LetIn":0.25,"Resend":1,"Tbl":2}
{"event_type":"Seal","I":1,"Number":7,"Flag":false}
{"event_type":"Probe","I":1,"Host":"quoted \"host\""}
{"event_type":"After","I":1,"FireAtUs":1500000,"Handle":1}
{"event_type":"Subscribe","I":1,"Flag":true}
{"event_type":"Remark","I":1,"ReasonText":"text"}
{"event_type":"Done","n":9}
`
	if out.String() != want {
		t.Errorf("wrote\n%s\nwant\n%s", out.String(), want)
	}
}

// Done returns an error of the underlying writer.
func TestWriterReportsErrors(t *testing.T) {
	broken := errors.New("broken")
	writer := NewWriter(failingWriter{broken})
	writer.Subscribe(1)
	if err := writer.Done(1); !errors.Is(err, broken) {
		t.Errorf("error %v, want %v", err, broken)
	}
}

type failingWriter struct{ err error }

func (w failingWriter) Write([]byte) (int, error) { return 0, w.err }
