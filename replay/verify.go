// Package replay gives a steward's recorded day to the library again: with the same setting, to show that the
// decisions come out as recorded or where they first part and why; and to tell what happened in the day. It does
// no I/O: records come from a function, and nothing is kept that grows with the length of the day.
package replay

import (
	"errors"
	"fmt"
	"io"

	"barleysail/controller"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// Next gives the records of a day one by one, and io.EOF at its end.
type NextFunc func() (*recordpb.Record, error)

// Make makes the steward that a recording's start describes.
type ControllerFactory func(*recordpb.Start) (*controller.Controller, error)

// Difference is where a replay first parts from the record.
type Difference struct {
	AtMs            float64 // ms
	Proxy           string
	Description     string // which host of which class, with both values
	LastAgreementMs float64
	Inputs          []string // since the last answer that agreed, the newest last
	OmittedInputs   int      // so many more inputs before those
}

func (d *Difference) String() string {
	text := fmt.Sprintf("at %.3f s, proxy %s: %s\nthe last answer that agreed is from %.3f s; inputs since then", d.AtMs/1000, d.Proxy,
		d.Description, d.LastAgreementMs/1000)
	if d.OmittedInputs > 0 {
		text += fmt.Sprintf(" (%d more before these)", d.OmittedInputs)
	}
	for _, input := range d.Inputs {
		text += "\n  " + input
	}
	return text
}

// Same is what a replay with the same setting came to.
type Verification struct {
	Inputs, Responses int
	FromMs, ToMs      float64
	FirstDifference   *Difference // nil: all came out as recorded
	ReadErr           error       // why the recording ended, nil at a clean end
}

// inputsKept of those since the last agreement are told.
const maxInputs = 12

// errNoStart is of a recording whose first part is gone: without its settings nothing can be replayed.
var errNoStart = errors.New("the recording has no start: its settings are not known")

// answer of the replay, not yet compared.
type pendingResponse struct {
	pollID int64
	controller.Response
}

// replayer is the steward.Out of a replay. Watches and probes were carried out when the day was recorded; what
// came of them is among the inputs.
type outputCollector struct {
	responses []pendingResponse
	log       func(text string)
}

func (r *outputCollector) Respond(pollID int64, response controller.Response) {
	r.responses = append(r.responses, pendingResponse{pollID, response})
}
func (r *outputCollector) CheckHealth(string) {}
func (r *outputCollector) WatchEndpoints()    {}
func (r *outputCollector) Log(text string) {
	if r.log != nil {
		r.log(text)
	}
}

// Again feeds a day to the library with the setting it was recorded with, up to the first difference.
func Verify(next NextFunc, newController ControllerFactory) (*Verification, error) {
	v := &verifier{result: &Verification{}, outputs: &outputCollector{}, newController: newController}
	for v.result.FirstDifference == nil {
		entry, err := next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				v.result.ReadErr = err
			}
			break
		}
		if err := v.process(entry); err != nil {
			return nil, err
		}
	}
	if v.controller == nil {
		return nil, errNoStart
	}
	return v.result, nil
}

// comparison holds a replay beside its record.
type verifier struct {
	result          *Verification
	outputs         *outputCollector
	newController   ControllerFactory
	controller      *controller.Controller
	lastAgreementMs float64
	inputs          []string
	omittedInputs   int
}

func (v *verifier) process(entry *recordpb.Record) error {
	if start := entry.GetStart(); start != nil {
		instance, err := v.newController(start)
		v.controller, v.result.FromMs, v.lastAgreementMs = instance, entry.At, entry.At
		return err
	}
	if v.controller == nil {
		return errNoStart
	}
	v.result.ToMs = entry.At
	if published := entry.GetPublished(); published != nil {
		v.compareResponse(entry.At, published)
		return nil
	}
	// What the replay answered to the input before must have been recorded before this one.
	if len(v.outputs.responses) > 0 {
		response := v.outputs.responses[0]
		v.setDifference(entry.At, response.Proxy, fmt.Sprintf("now published, not recorded: %s", describeResponse(response.Kind, response.Tag, response.BaseTag)))
		return nil
	}
	v.noteInput(entry)
	v.result.Inputs++
	return record.Apply(v.controller, entry, v.outputs)
}

func (v *verifier) noteInput(entry *recordpb.Record) {
	if len(v.inputs) == maxInputs {
		v.inputs = append(v.inputs[:0], v.inputs[1:]...)
		v.omittedInputs++
	}
	v.inputs = append(v.inputs, DescribeRecord(entry))
}

func (v *verifier) setDifference(atMs float64, proxy, description string) {
	v.result.FirstDifference = &Difference{AtMs: atMs, Proxy: proxy, Description: description, LastAgreementMs: v.lastAgreementMs, Inputs: v.inputs, OmittedInputs: v.omittedInputs}
}

func (v *verifier) compareResponse(atMs float64, recorded *recordpb.Published) {
	if len(v.outputs.responses) == 0 {
		v.setDifference(atMs, recorded.Proxy, fmt.Sprintf("recorded, now not published: %s", describeResponse(controller.ResponseKind(recorded.Kind), recorded.Tag, recorded.Base)))
		return
	}
	response := v.outputs.responses[0]
	v.outputs.responses = v.outputs.responses[1:]
	body := response.Body()
	if response.pollID == recorded.Poll && response.Proxy == recorded.Proxy && response.Kind == controller.ResponseKind(recorded.Kind) && response.Tag == recorded.Tag && response.BaseTag == recorded.Base &&
		record.Checksum(body) == recorded.Sum {
		v.result.Responses++
		v.lastAgreementMs, v.inputs, v.omittedInputs = atMs, v.inputs[:0], 0
		return
	}
	want, got := describeResponse(controller.ResponseKind(recorded.Kind), recorded.Tag, recorded.Base), describeResponse(response.Kind, response.Tag, response.BaseTag)
	switch {
	case response.Proxy != recorded.Proxy || response.pollID != recorded.Poll:
		v.setDifference(atMs, recorded.Proxy, fmt.Sprintf("recorded %s, now an answer to %s: %s", want, response.Proxy, got))
	case want != got:
		v.setDifference(atMs, recorded.Proxy, fmt.Sprintf("recorded %s, now %s", want, got))
	default:
		v.setDifference(atMs, recorded.Proxy, firstDifference(recorded.Body, body))
	}
}

func describeResponse(kind controller.ResponseKind, tag, baseTag string) string {
	switch kind {
	case controller.Delta:
		return fmt.Sprintf("a delta from %s to %s", baseTag, tag)
	case controller.NotModified:
		return "nothing new, " + tag
	}
	return "the whole, " + tag
}
