package controller

import (
	"encoding/json"
	"reflect"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"pgregory.net/rapid"

	"barleysail/routing"
)

// A delta never fits another base, and any of the history onto any later version gives that version.
func TestDeltasApplyToBase(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		d := newHarness(t, defaultTestSettings())
		list := d.readyEndpoints(6)
		d.mustSetEndpoints(list)
		docs := map[string][]byte{}
		tags := []string{}
		for range rapid.IntRange(2, 12).Draw(r, "rounds") {
			id := d.poll(PollRequest{Proxy: "p", WaitMs: -1, Tags: tags})
			d.advance(400)
			whole := d.poll(PollRequest{Proxy: "p", WaitMs: -1})
			a := d.responses[whole]
			docs[a.Tag] = a.Body()
			tags = append(tags, a.Tag)
			base := rapid.SampledFrom(tags).Draw(r, "base")
			id = d.poll(PollRequest{Proxy: "p", WaitMs: -1, Tags: []string{base}, AcceptDelta: true})
			got := d.responses[id]
			body := got.Body()
			switch got.Kind {
			case NotModified:
				body = docs[base]
			case Delta:
				if got.BaseTag != base {
					r.Fatalf("a delta onto %s for a proxy that holds %s", got.BaseTag, base)
				}
				var err error
				if body, err = jsonpatch.MergePatch(docs[base], body); err != nil {
					r.Fatal(err)
				}
			}
			var x, y any
			if json.Unmarshal(body, &x) != nil || json.Unmarshal(docs[a.Tag], &y) != nil || !reflect.DeepEqual(x, y) {
				r.Fatalf("from %s: %s\nnot %s", base, body, docs[a.Tag])
			}
			for i := range list {
				list[i].State = rapid.SampledFrom([]routing.HostState{routing.Ready, routing.Draining}).Draw(r, "phase")
				list[i].Weight = rapid.Float64Range(0.5, 2).Draw(r, "weight")
			}
			d.mustSetEndpoints(list[:rapid.IntRange(1, 6).Draw(r, "listed")])
			d.advance(3000)
		}
	})
}
