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

// following tells those who follow this steward what it knows, as the states and changes that a state folder holds, by long
// polls with deltas as proxies get theirs.
type following struct {
	core *core
	life string

	mu     sync.Mutex
	looked time.Time
	number int64
	states []*statepb.State // the last ones, the newest last
}

const (
	followEvery = 500 * time.Millisecond // at most so often the state is looked at for followers
	followKept  = 8                      // states kept as bases of changes
	followWait  = 30                     // seconds that a follower is held at most
	manipulate  = "barleysail-change"    // the instance manipulation (RFC 3229): a statepb.Change
)

// refresh looks at the state again if that is due. What followers hold is what changes applied give, so that is kept.
func (f *following) refresh() {
	if time.Since(f.looked) < followEvery {
		return
	}
	f.looked = time.Now()
	now, _ := f.core.remember()
	if now == nil {
		return
	}
	if n := len(f.states); n > 0 {
		c := state.Diff(f.states[n-1], now)
		if c == nil {
			return
		}
		now = proto.CloneOf(f.states[n-1])
		state.Apply(now, proto.CloneOf(c))
	}
	f.number++
	if f.states = append(f.states, now); len(f.states) > followKept {
		f.states = f.states[1:]
	}
}

func (f *following) tag(number int64) string { return fmt.Sprintf("%s-state-%d", f.life, number) }

// answer gives what is newer than the tags name; false where nothing is.
func (f *following) answer(tags []string, delta bool) (http1.Reply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refresh()
	if len(f.states) == 0 {
		return http1.Problem{Status: 503, Detail: "nothing is known yet"}.Reply("Retry-After", "1"), true
	}
	newest := f.states[len(f.states)-1]
	h := http1.Header("Etag", `"`+f.tag(f.number)+`"`, "Cache-Control", "no-store", "Content-Type", "application/x-protobuf")
	for i := range f.states {
		tag := f.tag(f.number - int64(len(f.states)-1-i))
		for _, t := range tags {
			switch {
			case t != tag:
			case i == len(f.states)-1:
				return http1.Reply{Status: 304, Header: h}, false
			case delta:
				if c := state.Diff(f.states[i], newest); c != nil {
					body, err := proto.Marshal(c)
					if err != nil {
						return fail(err), true
					}
					h["IM"] = []string{manipulate}
					h.Set("Delta-Base", `"`+tag+`"`)
					return http1.Reply{Status: 226, Header: h, Body: body}, true
				}
			}
		}
	}
	body, err := proto.Marshal(newest)
	if err != nil {
		return fail(err), true
	}
	return http1.Reply{Status: 200, Header: h, Body: body}, true
}

// serve holds a follower until there is something newer.
func (f *following) serve(q *http1.Request) http1.Reply {
	tags, _ := entityTags(q.Header)
	delta := accepts(q.Header, manipulate)
	seconds, _ := wait(q.Header)
	end := time.Now().Add(time.Duration(min(seconds, followWait) * float64(time.Second)))
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
		r, news := f.answer(tags, delta)
		if rest := time.Until(end); !news && rest > 0 {
			time.AfterFunc(min(rest, followEvery), look)
			return
		}
		held.Answer(r)
	}
	look()
	return http1.Reply{Held: held}
}

// followed is a follower's side: what the first one told, brought up to date by each answer.
type followed struct {
	tag   string
	state *statepb.State
}

// take takes an answer in; news tells whether something changed.
func (f *followed) take(r *http1.Response) (news bool, err error) {
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
		if base := r.Header.Get("Delta-Base"); f.state == nil || base != f.tag || !strings.EqualFold(r.Header.Get("Im"), manipulate) {
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
