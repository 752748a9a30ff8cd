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
	s := fmt.Sprintf("at %.3f s, proxy %s: %s\nthe last answer that agreed is from %.3f s; inputs since then", d.AtMs/1000, d.Proxy,
		d.Description, d.LastAgreementMs/1000)
	if d.OmittedInputs > 0 {
		s += fmt.Sprintf(" (%d more before these)", d.OmittedInputs)
	}
	for _, in := range d.Inputs {
		s += "\n  " + in
	}
	return s
}

// Same is what a replay with the same setting came to.
type Verification struct {
	Inputs, Responses int
	FromMs, ToMs      float64
	FirstDifference   *Difference // nil: all came out as recorded
	ReadErr           error       // why the recording ended, nil at a clean end
}

// inputsKept of those since the last agreement are told.
const inputsKept = 12

// errNoStart is of a recording whose first part is gone: without its settings nothing can be replayed.
var errNoStart = errors.New("the recording has no start: its settings are not known")

// answer of the replay, not yet compared.
type answer struct {
	poll int64
	controller.Response
}

// replayer is the steward.Out of a replay. Watches and probes were carried out when the day was recorded; what
// came of them is among the inputs.
type replayer struct {
	waiting []answer
	lines   func(text string)
}

func (r *replayer) Respond(poll int64, a controller.Response) {
	r.waiting = append(r.waiting, answer{poll, a})
}
func (r *replayer) CheckHealth(string) {}
func (r *replayer) WatchEndpoints()    {}
func (r *replayer) Log(text string) {
	if r.lines != nil {
		r.lines(text)
	}
}

// Again feeds a day to the library with the setting it was recorded with, up to the first difference.
func Verify(next NextFunc, build ControllerFactory) (*Verification, error) {
	c := &comparison{same: &Verification{}, out: &replayer{}, build: build}
	for c.same.FirstDifference == nil {
		r, err := next()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				c.same.ReadErr = err
			}
			break
		}
		if err := c.take(r); err != nil {
			return nil, err
		}
	}
	if c.steward == nil {
		return nil, errNoStart
	}
	return c.same, nil
}

// comparison holds a replay beside its record.
type comparison struct {
	same    *Verification
	out     *replayer
	build   ControllerFactory
	steward *controller.Controller
	agreed  float64
	inputs  []string
	left    int
}

func (c *comparison) take(r *recordpb.Record) error {
	if start := r.GetStart(); start != nil {
		s, err := c.build(start)
		c.steward, c.same.FromMs, c.agreed = s, r.At, r.At
		return err
	}
	if c.steward == nil {
		return errNoStart
	}
	c.same.ToMs = r.At
	if p := r.GetPublished(); p != nil {
		c.compare(r.At, p)
		return nil
	}
	// What the replay answered to the input before must have been recorded before this one.
	if len(c.out.waiting) > 0 {
		a := c.out.waiting[0]
		c.part(r.At, a.Proxy, fmt.Sprintf("now published, not recorded: %s", describe(a.Kind, a.Tag, a.BaseTag)))
		return nil
	}
	c.note(r)
	c.same.Inputs++
	return record.Apply(c.steward, r, c.out)
}

func (c *comparison) note(r *recordpb.Record) {
	if len(c.inputs) == inputsKept {
		c.inputs = append(c.inputs[:0], c.inputs[1:]...)
		c.left++
	}
	c.inputs = append(c.inputs, Describe(r))
}

func (c *comparison) part(at float64, proxy, what string) {
	c.same.FirstDifference = &Difference{AtMs: at, Proxy: proxy, Description: what, LastAgreementMs: c.agreed, Inputs: c.inputs, OmittedInputs: c.left}
}

func (c *comparison) compare(at float64, p *recordpb.Published) {
	if len(c.out.waiting) == 0 {
		c.part(at, p.Proxy, fmt.Sprintf("recorded, now not published: %s", describe(controller.ResponseKind(p.Kind), p.Tag, p.Base)))
		return
	}
	a := c.out.waiting[0]
	c.out.waiting = c.out.waiting[1:]
	body := a.Body()
	if a.poll == p.Poll && a.Proxy == p.Proxy && a.Kind == controller.ResponseKind(p.Kind) && a.Tag == p.Tag && a.BaseTag == p.Base &&
		record.Checksum(body) == p.Sum {
		c.same.Responses++
		c.agreed, c.inputs, c.left = at, c.inputs[:0], 0
		return
	}
	was, now := describe(controller.ResponseKind(p.Kind), p.Tag, p.Base), describe(a.Kind, a.Tag, a.BaseTag)
	switch {
	case a.Proxy != p.Proxy || a.poll != p.Poll:
		c.part(at, p.Proxy, fmt.Sprintf("recorded %s, now an answer to %s: %s", was, a.Proxy, now))
	case was != now:
		c.part(at, p.Proxy, fmt.Sprintf("recorded %s, now %s", was, now))
	default:
		c.part(at, p.Proxy, firstValue(p.Body, body))
	}
}

func describe(k controller.ResponseKind, tag, base string) string {
	switch k {
	case controller.Delta:
		return fmt.Sprintf("a delta from %s to %s", base, tag)
	case controller.NotModified:
		return "nothing new, " + tag
	}
	return "the whole, " + tag
}
