// Package wire frames the simulator's JSON lines and is the only place that spells their names. It knows
// nothing of decisions: what it reads is checked for form, and what it writes is one line an order.
package simwire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// Event types that the adapter acts on.
const (
	Turn         = "Turn"
	End          = "End"
	Start        = "Start"
	Endpoints    = "Endpoints"
	CheckedIn    = "CheckedIn"
	Disconnected = "Disconnected"
	Installed    = "Installed"
	Stats        = "Stats"
	Arrivals     = "Arrivals"
	Health       = "Health"
	Alarm        = "Alarm"
	CrashNow     = "CrashNow"
	Tenure       = "Tenure"
	StoredLine   = "StoredLine"
	SliceLoad    = "SliceLoad"
	Neighbour    = "NeighbourSays"
)

// How a list event came.
const (
	ListFailed = 0
	ListFull   = 1
	ListDelta  = 3
	ListCached = 4
)

// Record is a list entry.
type Record struct {
	Host       *string
	Area       *string
	Phase      *int64
	W          *float64
	LaunchedUs *int64
}

// Event is any line that comes in; which fields are set depends on Type.
type Event struct {
	Type       string `json:"event_type"`
	SimTimeUs  *int64
	Turn       *int64 `json:"n"`
	I          *int64
	Prng       *uint64
	Settings   json.RawMessage
	How        *int64
	Number     *int64
	Records    []Record
	Px         *int64
	Area       *string
	W          *float64
	Flag       *bool
	Kind       *string
	Count      *int64
	Errors     *int64
	WindowUs   *int64
	Host       *string
	CostTimeUs *int64
	Report     map[string]json.RawMessage
	Ending     *string
	Handle     *int64
	By         *int64
	Content    *string
	Tbl        *int64
}

// needs lists the fields that each type of event must carry.
var needs = map[string][]string{
	Turn: {"SimTimeUs", "n"}, End: {}, Start: {"I", "Prng", "Settings"}, Endpoints: {"I", "How", "Number"},
	CheckedIn: {"I", "Px", "Area", "W", "Flag"}, Disconnected: {"I", "Px"}, Installed: {"I", "Px", "Number", "CostTimeUs"},
	Stats:    {"I", "WindowUs", "Errors", "Host", "CostTimeUs", "Area", "Count"},
	Arrivals: {"I", "Px", "Kind", "Count", "Errors", "WindowUs"}, Health: {"I", "Host", "CostTimeUs", "Ending"},
	Alarm: {"I", "Handle"}, CrashNow: {"I"}, Tenure: {"I", "Tbl", "Flag"}, StoredLine: {"I", "Tbl", "Host", "W"},
	SliceLoad: {"I", "WindowUs", "Tbl", "Kind", "Errors", "Count"}, Neighbour: {"I", "By", "Content"},
}

func (e *Event) number(field string) *int64 {
	switch field {
	case "SimTimeUs":
		return e.SimTimeUs
	case "n":
		return e.Turn
	case "I":
		return e.I
	case "How":
		return e.How
	case "Number":
		return e.Number
	case "Px":
		return e.Px
	case "Count":
		return e.Count
	case "Errors":
		return e.Errors
	case "WindowUs":
		return e.WindowUs
	case "CostTimeUs":
		return e.CostTimeUs
	case "Handle":
		return e.Handle
	case "By":
		return e.By
	case "Tbl":
		return e.Tbl
	}
	return nil
}

func (e *Event) text(field string) *string {
	switch field {
	case "Area":
		return e.Area
	case "Kind":
		return e.Kind
	case "Host":
		return e.Host
	case "Ending":
		return e.Ending
	case "Content":
		return e.Content
	}
	return nil
}

func (e *Event) has(field string) bool {
	switch field {
	case "Prng":
		return e.Prng != nil
	case "Settings":
		return len(e.Settings) > 0
	case "W":
		return e.W != nil
	case "Flag":
		return e.Flag != nil
	}
	return e.number(field) != nil || e.text(field) != nil
}

// Reader reads events line by line.
type Reader struct{ in *bufio.Reader }

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{bufio.NewReaderSize(r, 1<<20)} }

// Next reads one event. It answers io.EOF at a clean end of input, and an error that names the event and
// the fault where the line is malformed.
func (r *Reader) Next(e *Event) error {
	line, err := r.in.ReadBytes('\n')
	if err != nil && (len(line) == 0 || !errors.Is(err, io.EOF)) {
		return err
	}
	*e = Event{}
	if err := json.Unmarshal(line, e); err != nil {
		var ill *json.UnmarshalTypeError
		if errors.As(err, &ill) && ill.Field != "" {
			return fmt.Errorf("%s: field %s cannot be %s", orLine(e.Type), ill.Field, ill.Value)
		}
		return fmt.Errorf("%s: not a JSON object: %v", orLine(e.Type), err)
	}
	fields, known := needs[e.Type]
	if !known {
		return fmt.Errorf("%s: unknown event", orLine(e.Type))
	}
	for _, f := range fields {
		if !e.has(f) {
			return fmt.Errorf("%s: field %s is missing", e.Type, f)
		}
		if n := e.number(f); n != nil && *n < 0 {
			return fmt.Errorf("%s: field %s is below 0", e.Type, f)
		}
	}
	if e.W != nil && *e.W < 0 {
		return fmt.Errorf("%s: field W is below 0", e.Type)
	}
	for _, rec := range e.Records {
		if rec.Host == nil || rec.Phase == nil || (*rec.Phase != 0 && (rec.Area == nil || rec.W == nil)) {
			return fmt.Errorf("%s: an entry lacks Host, Phase, Area or W", e.Type)
		}
	}
	return nil
}

func orLine(name string) string {
	if name == "" {
		return "line"
	}
	return name
}

// Value reads one value of a load report, or -1 where it is absent or no number.
func (e *Event) Value(name string) float64 {
	v, err := strconv.ParseFloat(string(e.Report[name]), 64)
	if err != nil || v < 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return -1
	}
	return v
}

// Writer writes orders; Done ends a reply.
type Writer struct {
	out  *bufio.Writer
	line []byte
}

// NewWriter writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16)} }

func (w *Writer) open(name string, inst int) {
	w.line = append(append(append(w.line[:0], `{"event_type":"`...), name...), `","I":`...)
	w.line = strconv.AppendInt(w.line, int64(inst), 10)
}

func (w *Writer) key(name string) {
	w.line = append(append(append(w.line, `,"`...), name...), `":`...)
}

func (w *Writer) int(name string, v int64) { w.key(name); w.line = strconv.AppendInt(w.line, v, 10) }

func (w *Writer) float(name string, v float64) {
	w.key(name)
	w.line = strconv.AppendFloat(w.line, v, 'g', 6, 64)
}

func (w *Writer) text(name, v string) {
	w.key(name)
	quoted, _ := json.Marshal(v)
	w.line = append(w.line, quoted...)
}

func (w *Writer) bool(name string, v bool) { w.key(name); w.line = strconv.AppendBool(w.line, v) }

func (w *Writer) close() { w.line = append(w.line, '}', '\n'); w.out.Write(w.line) }

// Weigh sets one line of a table; a weight of 0 removes it.
func (w *Writer) Weigh(inst, table int, host string, weight float64) {
	w.open("Weigh", inst)
	w.int("Tbl", int64(table))
	w.text("Host", host)
	w.float("W", weight)
	w.close()
}

// AttachTable sends a proxy a table for the classes in the mask.
func (w *Writer) AttachTable(inst, px, table, classes int) {
	w.open("AttachTable", inst)
	w.int("Classes", int64(classes))
	w.int("Px", int64(px))
	w.int("Tbl", int64(table))
	w.close()
}

// Throttle sets a level and the way of trying again.
func (w *Writer) Throttle(inst, table, classes int, letIn float64, resend int) {
	w.open("Throttle", inst)
	w.int("Classes", int64(classes))
	w.float("LetIn", letIn)
	w.int("Resend", int64(resend))
	w.int("Tbl", int64(table))
	w.close()
}

// Seal marks the messages of this reply.
func (w *Writer) Seal(inst, number int) {
	w.open("Seal", inst)
	w.int("Number", int64(number))
	w.bool("Flag", false)
	w.close()
}

// Probe examines a host.
func (w *Writer) Probe(inst int, host string) {
	w.open("Probe", inst)
	w.text("Host", host)
	w.close()
}

// After asks for an alarm.
func (w *Writer) After(inst int, atUs int64, handle int64) {
	w.open("After", inst)
	w.int("FireAtUs", atUs)
	w.int("Handle", handle)
	w.close()
}

// Subscribe asks for the list and its changes.
func (w *Writer) Subscribe(inst int) {
	w.open("Subscribe", inst)
	w.bool("Flag", true)
	w.close()
}

// Remark adds a line to the report.
func (w *Writer) Remark(inst int, text string) {
	w.open("Remark", inst)
	w.text("ReasonText", text)
	w.close()
}

// Done ends the reply to a batch and flushes.
func (w *Writer) Done(batch int64) error {
	w.line = strconv.AppendInt(append(w.line[:0], `{"event_type":"Done","n":`...), batch, 10)
	w.close()
	return w.out.Flush()
}
