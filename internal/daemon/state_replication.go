package daemon

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/http1"
	"barleysail/state"
	"barleysail/state/statepb"
)

// statePublisher tells those who follow this steward what it knows, as the states and changes that a state folder holds, by long
// polls with deltas as proxies get theirs.
type statePublisher struct {
	loop        *controllerLoop
	incarnation string

	mu          sync.Mutex
	refreshedAt time.Time
	version     int64
	versions    []*statepb.State // the last ones, the newest last
}

const (
	stateRefreshInterval    = 500 * time.Millisecond // at most so often the state is looked at for followers
	maxStateVersions        = 8                      // states kept as bases of changes
	maxStateWaitSeconds     = 30                     // seconds that a follower is held at most
	stateChangeManipulation = "barleysail-change"    // the instance manipulation (RFC 3229): a statepb.Change
)

// refresh looks at the state again if that is due. What followers hold is what changes applied give, so that is kept.
func (f *statePublisher) refresh() {
	if time.Since(f.refreshedAt) < stateRefreshInterval {
		return
	}
	f.refreshedAt = time.Now()
	now, _ := f.loop.snapshot()
	if now == nil {
		return
	}
	if n := len(f.versions); n > 0 {
		c := state.Diff(f.versions[n-1], now)
		if c == nil {
			return
		}
		now = proto.CloneOf(f.versions[n-1])
		state.Apply(now, proto.CloneOf(c))
	}
	f.version++
	if f.versions = append(f.versions, now); len(f.versions) > maxStateVersions {
		f.versions = f.versions[1:]
	}
}

func (f *statePublisher) tag(number int64) string {
	return fmt.Sprintf("%s-state-%d", f.incarnation, number)
}

// respond gives what is newer than the tags name; false where nothing is.
func (f *statePublisher) respond(tags []string, delta bool) (http1.Reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if len(f.versions) == 0 {
		return http1.Problem{Status: 503, Detail: "nothing is known yet"}.Reply("Retry-After", "1"), true
	}
	newest := f.versions[len(f.versions)-1]
	h := http1.Header("Etag", `"`+f.tag(f.version)+`"`, "Cache-Control", "no-store", "Content-Type", "application/x-protobuf")
	for i := range f.versions {
		tag := f.tag(f.version - int64(len(f.versions)-1-i))
		for _, t := range tags {
			switch {
			case t != tag:
			case i == len(f.versions)-1:
				return http1.Reply{Status: 304, Header: h}, false
			case delta:
				if c := state.Diff(f.versions[i], newest); c != nil {
					body, err := proto.Marshal(c)
					if err != nil {
						return errorReply(err), true
					}
					h["IM"] = []string{stateChangeManipulation}
					h.Set("Delta-Base", `"`+tag+`"`)
					return http1.Reply{Status: 226, Header: h, Body: body}, true
				}
			}
		}
	}
	body, err := proto.Marshal(newest)
	if err != nil {
		return errorReply(err), true
	}
	return http1.Reply{Status: 200, Header: h, Body: body}, true
}

// serve holds a follower until there is something newer.
func (f *statePublisher) serve(q *http1.Request) http1.Reply {
	tags, _ := entityTags(q.Header)
	delta := acceptsManipulation(q.Header, stateChangeManipulation)
	seconds, _ := preferredWait(q.Header)
	end := time.Now().Add(time.Duration(min(seconds, maxStateWaitSeconds) * float64(time.Second)))
	var mu sync.Mutex
	gone := false
	held := q.Hold(func() { mu.Lock(); gone = true; mu.Unlock() })
	var look func()
	look = func() {
		mu.Lock()
		left := gone
		mu.Unlock()
		if left {
			return
		}
		r, news := f.respond(tags, delta)
		if rest := time.Until(end); !news && rest > 0 {
			time.AfterFunc(min(rest, stateRefreshInterval), look)
			return
		}
		held.Answer(r)
	}
	look()
	return http1.Reply{Held: held}
}

// stateReplica is a follower's side: what the first one told, brought up to date by each answer.
type stateReplica struct {
	tag   string
	state *statepb.State
}

// apply takes an answer in; news tells whether something changed.
func (f *stateReplica) apply(r *http1.Response) (news bool, err error) {
	switch r.Status {
	case 304:
		return false, nil
	case 200:
		s := &statepb.State{}
		if err := proto.Unmarshal(r.Body, s); err != nil {
			return false, fmt.Errorf("reading a state: %w", err)
		}
		if s.Major > state.FormatMajor {
			return false, fmt.Errorf("the state has format %d, %d is the newest known here", s.Major, state.FormatMajor)
		}
		f.state = s
	case 226:
		c := &statepb.Change{}
		if base := r.Header.Get("Delta-Base"); f.state == nil || base != f.tag || !strings.EqualFold(r.Header.Get("Im"), stateChangeManipulation) {
			f.tag = ""
			return false, fmt.Errorf("a change onto %s came, not onto what is held", base)
		}
		if err := proto.Unmarshal(r.Body, c); err != nil {
			f.tag = ""
			return false, fmt.Errorf("reading a change: %w", err)
		}
		state.Apply(f.state, c)
	default:
		return false, fmt.Errorf("the steward answered %d", r.Status)
	}
	f.tag = r.Header.Get("Etag")
	return true, nil
}
