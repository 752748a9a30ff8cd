// Package replay replays recordings of controllers. With the recorded settings it verifies that the responses are the
// recorded ones, and reports where they first differ. With other settings it simulates the fleet with a model of the
// hosts' response times. It also summarizes recordings and extracts parts of them. It does no I/O: records come from a
// function, and no state grows with the length of the recordings.
package replay

import (
	"errors"
	"fmt"
	"io"

	"barleysail/controller"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
)

// NextFunc returns the next record of a recording, and io.EOF at its end.
type NextFunc func() (*recordpb.Record, error)

// ControllerFactory creates a controller from the start record of its recording.
type ControllerFactory func(*recordpb.Start) (*controller.Controller, error)

// Difference is the first difference between a replay and its recording.
type Difference struct {
	AtMs            float64
	Proxy           string
	Description     string // the host and class, with both values
	LastAgreementMs float64
	Inputs          []string // the last maxInputs inputs since the last response that agreed, in order of time
	OmittedInputs   int      // number of inputs since that response that are not among Inputs
}

func (d *Difference) String() string {
	text := fmt.Sprintf("at %.3f s, proxy %s: %s\nthe last identical response is from %.3f s; inputs since then",
		d.AtMs/1000, d.Proxy, d.Description, d.LastAgreementMs/1000)
	if d.OmittedInputs > 0 {
		text += fmt.Sprintf(" (%d earlier ones omitted)", d.OmittedInputs)
	}
	for _, input := range d.Inputs {
		text += "\n  " + input
	}
	return text
}

// Verification is the result of a replay with the recorded settings.
type Verification struct {
	Inputs          int
	Responses       int // identical ones
	FromMs, ToMs    float64
	FirstDifference *Difference // nil: all responses are the recorded ones
	ReadErr         error       // the error that ended reading; nil: a clean end
}

// maxInputs is the number of inputs that a Difference holds.
const maxInputs = 12

// errNoStart is the error for a recording whose beginning is missing: without its settings it cannot be replayed.
var errNoStart = errors.New("the recording has no start record, so its settings are unknown")

// pendingResponse is a response of the replay that was not yet compared.
type pendingResponse struct {
	pollID int64
	controller.Response
}

// outputCollector implements controller.Effects. It performs no health checks and watches no endpoints, as their
// recorded results are among the inputs.
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

// Verify replays a recording with its own settings, up to the first difference.
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

// verifier replays a recording and compares the responses with the recorded ones.
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
	// The responses to the previous input must have been recorded before this input.
	if len(v.outputs.responses) > 0 {
		response := v.outputs.responses[0]
		description := describeResponse(response.Kind, response.Tag, response.BaseTag)
		v.setDifference(entry.At, response.Proxy, fmt.Sprintf("published in the replay but not recorded: %s", description))
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
	v.result.FirstDifference = &Difference{
		AtMs:            atMs,
		Proxy:           proxy,
		Description:     description,
		LastAgreementMs: v.lastAgreementMs,
		Inputs:          v.inputs,
		OmittedInputs:   v.omittedInputs,
	}
}

func (v *verifier) compareResponse(atMs float64, recorded *recordpb.Published) {
	if len(v.outputs.responses) == 0 {
		description := describeResponse(controller.ResponseKind(recorded.Kind), recorded.Tag, recorded.Base)
		v.setDifference(atMs, recorded.Proxy, fmt.Sprintf("recorded but not published in the replay: %s", description))
		return
	}
	response := v.outputs.responses[0]
	v.outputs.responses = v.outputs.responses[1:]
	body := response.Body()
	if response.pollID == recorded.Poll && response.Proxy == recorded.Proxy &&
		response.Kind == controller.ResponseKind(recorded.Kind) && response.Tag == recorded.Tag &&
		response.BaseTag == recorded.Base && record.Checksum(body) == recorded.Sum {
		v.result.Responses++
		v.lastAgreementMs, v.inputs, v.omittedInputs = atMs, v.inputs[:0], 0
		return
	}
	want := describeResponse(controller.ResponseKind(recorded.Kind), recorded.Tag, recorded.Base)
	got := describeResponse(response.Kind, response.Tag, response.BaseTag)
	switch {
	case response.Proxy != recorded.Proxy || response.pollID != recorded.Poll:
		v.setDifference(atMs, recorded.Proxy,
			fmt.Sprintf("recorded %s, replayed a response to %s: %s", want, response.Proxy, got))
	case want != got:
		v.setDifference(atMs, recorded.Proxy, fmt.Sprintf("recorded %s, replayed %s", want, got))
	default:
		v.setDifference(atMs, recorded.Proxy, firstDifference(recorded.Body, body))
	}
}

func describeResponse(kind controller.ResponseKind, tag, baseTag string) string {
	switch kind {
	case controller.Delta:
		return fmt.Sprintf("delta from %s to %s", baseTag, tag)
	case controller.NotModified:
		return "not modified, tag " + tag
	}
	return "snapshot, tag " + tag
}
