package daemon

import (
	"fmt"
	"net/http"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/http1"
	"barleysail/state"
	"barleysail/state/statepb"
)

const (
	// statePath is where the leader serves its state to standbys.
	statePath = "/v1/state"

	// stateRefreshInterval is the shortest time between two snapshots of the controller's state for its standbys.
	stateRefreshInterval = 500 * time.Millisecond

	// maxStateVersions bounds the versions of the state that are cached as bases of deltas.
	maxStateVersions = 8

	// maxStateWaitSeconds is the longest time that a standby's long poll is held, in seconds.
	maxStateWaitSeconds = 30

	// stateChangeManipulation names the instance manipulation (RFC 3229) whose body is a statepb.Change.
	stateChangeManipulation = "barleysail-change"
)

// statePublisher serves the controller's state to standbys, by long polls with entity tags whose responses are
// snapshots (statepb.State) or deltas (statepb.Change).
type statePublisher struct {
	loop        *controllerLoop
	incarnation string

	mu          sync.Mutex
	refreshedAt time.Time
	version     int64            // number of the newest of versions
	versions    []*statepb.State // the newest last, at most maxStateVersions
}

// refresh adds a version if the state has changed, at most once per stateRefreshInterval. The new version is the last
// one with the delta applied, and not the snapshot itself, so that it equals what standbys get by applying the delta.
// The caller holds the mutex.
func (p *statePublisher) refresh() {
	if time.Since(p.refreshedAt) < stateRefreshInterval {
		return
	}
	p.refreshedAt = time.Now()
	next, _ := p.loop.snapshot()
	if next == nil {
		return
	}
	if len(p.versions) > 0 {
		newest := p.versions[len(p.versions)-1]
		change := state.Diff(newest, next)
		if change == nil {
			return
		}
		next = proto.CloneOf(newest)
		state.Apply(next, proto.CloneOf(change))
	}
	p.version++
	p.versions = append(p.versions, next)
	if len(p.versions) > maxStateVersions {
		p.versions = p.versions[1:]
	}
}

// tag returns the entity tag of a version, without quotes.
func (p *statePublisher) tag(version int64) string {
	return fmt.Sprintf("%s-state-%d", p.incarnation, version)
}

// respond returns the reply to a standby that has the versions with these tags; acceptDelta says whether it accepts a
// delta. changed is false if it has the newest version: the reply is then 304 Not Modified.
func (p *statePublisher) respond(tags []string, acceptDelta bool) (reply http1.Reply, changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh()
	if len(p.versions) == 0 {
		problem := http1.Problem{Status: http.StatusServiceUnavailable, Detail: "nothing is known yet"}
		return problem.Reply("Retry-After", "1"), true
	}
	newest := p.versions[len(p.versions)-1]
	header := http1.Header("Etag", `"`+p.tag(p.version)+`"`, "Cache-Control", "no-store",
		"Content-Type", "application/x-protobuf")
	for i, base := range p.versions {
		baseTag := p.tag(p.version - int64(len(p.versions)-1-i))
		if !slices.Contains(tags, baseTag) {
			continue
		}
		if base == newest {
			return http1.Reply{Status: http.StatusNotModified, Header: header}, false
		}
		if !acceptDelta {
			continue
		}
		if change := state.Diff(base, newest); change != nil {
			return deltaReply(header, baseTag, change), true
		}
	}
	return protobufReply(http.StatusOK, header, newest), true
}

func deltaReply(header textproto.MIMEHeader, baseTag string, change *statepb.Change) http1.Reply {
	header["IM"] = []string{stateChangeManipulation} // not in the canonical form, which would be Im
	header.Set("Delta-Base", `"`+baseTag+`"`)
	return protobufReply(http.StatusIMUsed, header, change)
}

func protobufReply(status int, header textproto.MIMEHeader, message proto.Message) http1.Reply {
	body, err := proto.Marshal(message)
	if err != nil {
		return errorReply(err)
	}
	return http1.Reply{Status: status, Header: header, Body: body}
}

// serve handles a standby's long poll. It replies as soon as there is a newer version, or when the wait is over.
func (p *statePublisher) serve(request *http1.Request) http1.Reply {
	tags, _ := entityTags(request.Header)
	seconds, _ := preferredWait(request.Header)
	wait := time.Duration(min(seconds, maxStateWaitSeconds) * float64(time.Second))
	poll := &statePoll{
		publisher:   p,
		tags:        tags,
		acceptDelta: acceptsManipulation(request.Header, stateChangeManipulation),
		deadline:    time.Now().Add(wait),
	}
	poll.held = request.Hold(poll.cancel)
	poll.check()
	return http1.Reply{Held: poll.held}
}

// statePoll is a pending long poll of a standby. Its timer ends with the reply, or after cancel.
type statePoll struct {
	publisher   *statePublisher
	tags        []string
	acceptDelta bool
	deadline    time.Time
	held        *http1.HeldRequest

	mu       sync.Mutex
	canceled bool
}

// check replies if the wait is over or the state has changed, and otherwise schedules the next check.
func (p *statePoll) check() {
	if p.isCanceled() {
		return
	}
	reply, changed := p.publisher.respond(p.tags, p.acceptDelta)
	remaining := time.Until(p.deadline)
	if !changed && remaining > 0 {
		time.AfterFunc(min(remaining, stateRefreshInterval), p.check)
		return
	}
	p.held.Answer(reply)
}

// cancel ends the poll after the standby has closed its connection.
func (p *statePoll) cancel() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.canceled = true
}

func (p *statePoll) isCanceled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.canceled
}
