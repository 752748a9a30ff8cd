package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// followEvents requests the events after the last one that it printed, and returns the error of a failed request.
func TestFollowEvents(t *testing.T) {
	responses := []string{
		`{"events":[{"number":1,"at":1000,"kind":"list","text":"one"},{"number":2,"at":2000,"kind":"mode","text":"two"}]}`,
		`{"events":[]}`,
		`{"events":[{"number":3,"at":3000,"kind":"joined","text":"three"}]}`,
	}
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(response http.ResponseWriter, request *http.Request) {
		requests = append(requests, request.URL.RequestURI()+" "+request.Header.Get("Prefer"))
		if len(requests) > len(responses) {
			http.Error(response, "stopping", http.StatusServiceUnavailable)
			return
		}
		if _, err := fmt.Fprint(response, responses[len(requests)-1]); err != nil {
			t.Errorf("writing the response: %v", err)
		}
	}))
	defer server.Close()
	var out strings.Builder
	err := followEvents(context.Background(), &out, newControllerClient(server.URL))
	if err == nil || err.Error() != "stopping" {
		t.Errorf("followEvents: got error %v, want stopping", err)
	}
	want := "1970-01-01 00:00:01.000  list     one\n1970-01-01 00:00:02.000  mode     two\n" +
		"1970-01-01 00:00:03.000  joined   three\n"
	if diff := cmp.Diff(want, out.String()); diff != "" {
		t.Errorf("printed (-want +got):\n%s", diff)
	}
	wantRequests := []string{"/v1/events?after=0 wait=0", "/v1/events?after=2 wait=30", "/v1/events?after=2 wait=30",
		"/v1/events?after=3 wait=30"}
	if diff := cmp.Diff(wantRequests, requests); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
}
