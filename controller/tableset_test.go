package controller

import (
	"encoding/json"
	"reflect"
	"testing"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"pgregory.net/rapid"

	"barleysail/routing"
)

// A delta refers to the version that the proxy holds. Applied to any version of the history it gives the newest one.
func TestDeltasApplyToBase(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHarness(t, defaultTestConfig())
		list := h.readyEndpoints(6)
		h.mustSetEndpoints(list)
		documents := map[string][]byte{}
		var tags []string
		for range rapid.IntRange(2, 12).Draw(r, "rounds") {
			h.poll(PollRequest{Proxy: "p", WaitMs: -1, Tags: tags})
			h.advance(400)
			snapshot := h.responses[h.poll(PollRequest{Proxy: "p", WaitMs: -1})]
			documents[snapshot.Tag] = snapshot.Body()
			tags = append(tags, snapshot.Tag)
			base := rapid.SampledFrom(tags).Draw(r, "base")
			poll := h.poll(PollRequest{Proxy: "p", WaitMs: -1, Tags: []string{base}, AcceptDelta: true})
			applied := applyResponse(r, h.responses[poll], base, documents[base])
			if !equalJSON(applied, documents[snapshot.Tag]) {
				r.Fatalf("the response to a proxy with %s gives %s\nwant %s", base, applied, documents[snapshot.Tag])
			}
			for i := range list {
				states := []routing.HostState{routing.Ready, routing.Draining}
				list[i].State = rapid.SampledFrom(states).Draw(r, "state")
				list[i].Weight = rapid.Float64Range(0.5, 2).Draw(r, "weight")
			}
			h.mustSetEndpoints(list[:rapid.IntRange(1, 6).Draw(r, "listed")])
			h.advance(3000)
		}
	})
}

// applyResponse returns the document of a proxy that held the document of a base and has applied a response.
func applyResponse(r *rapid.T, response Response, base string, document []byte) []byte {
	switch response.Kind {
	case NotModified:
		return document
	case Delta:
		if response.BaseTag != base {
			r.Fatalf("the delta is onto %s, want %s, which the proxy holds", response.BaseTag, base)
		}
		patched, err := jsonpatch.MergePatch(document, response.Body())
		if err != nil {
			r.Fatal(err)
		}
		return patched
	default:
		return response.Body()
	}
}

// equalJSON reports whether two texts are JSON documents of the same content.
func equalJSON(a, b []byte) bool {
	var x, y any
	return json.Unmarshal(a, &x) == nil && json.Unmarshal(b, &y) == nil && reflect.DeepEqual(x, y)
}

// The canonical form holds the same tables as the snapshot, with its members in the order of their names. It is encoded
// once, and later calls return the same text.
func TestCanonicalTables(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	h.poll(PollRequest{Proxy: "p", WaitMs: 60000})
	h.advance(100)
	response, ok := h.PublishedTables("p")
	if !ok {
		t.Fatal("p has no published tables, want those of its session")
	}
	const want = `{"finish":{"hosts":{"10.0.0.0:80":1,"10.0.0.1:80":1},"share":1,"tries":1},` +
		`"sheet":{"hosts":{"10.0.0.0:80":1,"10.0.0.1:80":1},"share":1,"tries":1}}`
	for range 2 { // encoded, then cached
		canonical, err := response.Canonical()
		if err != nil || string(canonical) != want {
			t.Errorf("the canonical form is %s, error %v, want %s", canonical, err, want)
		}
	}
}
