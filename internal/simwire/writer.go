package simwire

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
)

const (
	writeBufferBytes = 1 << 16
	floatDigits      = 6 // significant digits of a number on the wire
)

// Writer writes messages, one a line. It buffers them until Done, which also returns the error of any write.
type Writer struct {
	out  *bufio.Writer
	line []byte // the message that is being built; reused
}

// NewWriter returns a writer of messages to an output.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: bufio.NewWriterSize(out, writeBufferBytes)}
}

// Weigh sets the weight of a host in a table; 0 removes the host.
func (w *Writer) Weigh(instance, table int, host string, weight float64) {
	w.open("Weigh", instance)
	w.int("Tbl", int64(table))
	w.text("Host", host)
	w.float("W", weight)
	w.close()
}

// AttachTable assigns a table to a proxy, for the request classes of a bit mask.
func (w *Writer) AttachTable(instance, proxy, table, classes int) {
	w.open("AttachTable", instance)
	w.int("Classes", int64(classes))
	w.int("Px", int64(proxy))
	w.int("Tbl", int64(table))
	w.close()
}

// Throttle sets the admission quota and the retry policy of the request classes of a bit mask.
func (w *Writer) Throttle(instance, table, classes int, quota float64, retryPolicy int) {
	w.open("Throttle", instance)
	w.int("Classes", int64(classes))
	w.float("LetIn", quota)
	w.int("Resend", int64(retryPolicy))
	w.int("Tbl", int64(table))
	w.close()
}

// Seal stamps the messages before it with a version, which proxies acknowledge.
func (w *Writer) Seal(instance, version int) {
	w.open("Seal", instance)
	w.int("Number", int64(version))
	w.bool("Flag", false)
	w.close()
}

// Probe requests a health check of a host.
func (w *Writer) Probe(instance int, host string) {
	w.open("Probe", instance)
	w.text("Host", host)
	w.close()
}

// After requests an alarm with a handle at a simulated time in microseconds.
func (w *Writer) After(instance int, atUs, handle int64) {
	w.open("After", instance)
	w.int("FireAtUs", atUs)
	w.int("Handle", handle)
	w.close()
}

// Subscribe requests the endpoint list and its changes.
func (w *Writer) Subscribe(instance int) {
	w.open("Subscribe", instance)
	w.bool("Flag", true)
	w.close()
}

// Remark adds a line to the simulation's report.
func (w *Writer) Remark(instance int, text string) {
	w.open("Remark", instance)
	w.text("ReasonText", text)
	w.close()
}

// Done ends the response to a batch and flushes it. It returns the first error of all writes.
func (w *Writer) Done(batch int64) error {
	w.line = append(w.line[:0], `{"event_type":"Done","n":`...)
	w.line = strconv.AppendInt(w.line, batch, 10)
	w.close()
	return w.out.Flush()
}

// open begins a message of a type from an instance.
func (w *Writer) open(messageType string, instance int) {
	w.line = append(w.line[:0], `{"event_type":"`...)
	w.line = append(w.line, messageType...)
	w.line = append(w.line, `","I":`...)
	w.line = strconv.AppendInt(w.line, int64(instance), 10)
}

// close ends a message. bufio.Writer keeps the first error, which Done returns.
func (w *Writer) close() {
	w.line = append(w.line, '}', '\n')
	_, _ = w.out.Write(w.line)
}

func (w *Writer) key(name string) {
	w.line = append(w.line, `,"`...)
	w.line = append(w.line, name...)
	w.line = append(w.line, `":`...)
}

func (w *Writer) int(name string, value int64) {
	w.key(name)
	w.line = strconv.AppendInt(w.line, value, 10)
}

func (w *Writer) float(name string, value float64) {
	w.key(name)
	w.line = strconv.AppendFloat(w.line, value, 'g', floatDigits, 64)
}

func (w *Writer) bool(name string, value bool) {
	w.key(name)
	w.line = strconv.AppendBool(w.line, value)
}

func (w *Writer) text(name, value string) {
	w.key(name)
	quoted, err := json.Marshal(value)
	if err != nil {
		panic(err) // encoding/json can encode every string
	}
	w.line = append(w.line, quoted...)
}
