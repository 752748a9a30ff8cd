package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// fakeEndpointService serves an endpoint list by long polls with deltas.
type fakeEndpointService struct {
	mu        sync.Mutex
	changed   *sync.Cond
	version   int
	snapshots map[int]string
	deltas    map[int]string // by version; onto the previous version
}

func newFakeEndpointService() *fakeEndpointService {
	s := &fakeEndpointService{snapshots: map[int]string{}, deltas: map[int]string{}}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// publish adds a version of the list.
func (s *fakeEndpointService) publish(snapshot, delta string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.snapshots[s.version] = snapshot
	s.deltas[s.version] = delta
	s.changed.Broadcast()
}

func (s *fakeEndpointService) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stop := context.AfterFunc(request.Context(), s.wakePolls)
	defer stop()
	cachedTag := request.Header.Get("If-None-Match")
	for request.Context().Err() == nil && cachedTag == s.tag(s.version) {
		s.changed.Wait()
	}
	writer.Header().Set("ETag", s.tag(s.version))
	body := s.snapshots[s.version]
	if cachedTag == s.tag(s.version-1) && request.Header.Get("A-IM") == "merge-patch" {
		writer.Header().Set("IM", "merge-patch")
		writer.Header().Set("Delta-Base", cachedTag)
		writer.WriteHeader(http.StatusIMUsed)
		body = s.deltas[s.version]
	}
	_, _ = io.WriteString(writer, body) // fails if the poll was canceled meanwhile
}

// wakePolls makes pending polls check whether they were canceled. It takes the mutex, so that no poll is between its
// check and its wait and misses the broadcast.
func (s *fakeEndpointService) wakePolls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

func (s *fakeEndpointService) tag(version int) string { return fmt.Sprintf(`"%d"`, version) }

// While the list service is unavailable the last list stays in force. When the service is available again the changes
// made meanwhile are applied.
func TestEndpointServiceOutage(t *testing.T) {
	service := newFakeEndpointService()
	service.publish(`{"hosts":{"10.0.0.1:80":{"zone":"a"},`+
		`"10.0.0.2:80":{"zone":"b","phase":"ready","weight":2,"started":5}}}`, "")
	server := &http.Server{Handler: service}
	address := serveHTTP(t, server, "127.0.0.1:0")
	d := startDaemon(t, fmt.Sprintf(`list { url: "http://%s/hosts" wait_ms: 20000 }`, address))
	eventually(t, "the endpoint list", func() bool { return d.loop.status().Hosts == 2 })
	service.publish(`{"hosts":{"10.0.0.1:80":{"zone":"a"}}}`, `{"hosts":{"10.0.0.2:80":null}}`)
	eventually(t, "a delta", func() bool { return d.loop.status().Hosts == 1 })

	closeOrFail(t, server)
	eventually(t, "the watch to fail", func() bool { return d.loop.status().WatchFailed })
	if result := d.get(tablesPath); result.status != 200 || !strings.Contains(result.body, `"10.0.0.1:80":1`) {
		t.Errorf("poll without the service returned %+v, want status 200 and the first host", result)
	}

	service.publish(`{"hosts":{"10.0.0.1:80":{"zone":"a"},"10.0.0.3:80":{"zone":"a"},"10.0.0.4:80":{"zone":"b"}}}`,
		`{"hosts":{"10.0.0.3:80":{"zone":"a"},"10.0.0.4:80":{"zone":"b"}}}`)
	serveHTTP(t, &http.Server{Handler: service}, address)
	eventually(t, "the changed list", func() bool {
		status := d.loop.status()
		return status.Hosts == 3 && !status.WatchFailed
	})
}
