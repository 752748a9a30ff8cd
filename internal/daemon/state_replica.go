package daemon

import (
	"fmt"
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/http1"
	"barleysail/state"
	"barleysail/state/statepb"
)

// stateReplica is a standby's copy of the leader's state. Each response to a poll of the leader updates it.
type stateReplica struct {
	tag   string         // entity tag of state, with quotes; empty: the next poll asks for a snapshot
	state *statepb.State // nil: no state was received yet
}

// apply applies a response of the leader and reports whether it changed the state. After a delta that cannot be applied
// the next poll asks for a snapshot.
func (r *stateReplica) apply(response *http1.Response) (changed bool, err error) {
	switch response.Status {
	case http.StatusNotModified:
		return false, nil
	case http.StatusOK:
		err = r.applySnapshot(response)
	case http.StatusIMUsed:
		err = r.applyDelta(response)
		if err != nil {
			r.tag = ""
		}
	default:
		err = fmt.Errorf("the steward answered %d", response.Status)
	}
	if err != nil {
		return false, err
	}
	r.tag = response.Header.Get("Etag")
	return true, nil
}

func (r *stateReplica) applySnapshot(response *http1.Response) error {
	snapshot := &statepb.State{}
	if err := proto.Unmarshal(response.Body, snapshot); err != nil {
		return fmt.Errorf("reading a state: %w", err)
	}
	if snapshot.Major > state.FormatMajor {
		return fmt.Errorf("the state has format %d, %d is the newest known here", snapshot.Major, state.FormatMajor)
	}
	r.state = snapshot
	return nil
}

func (r *stateReplica) applyDelta(response *http1.Response) error {
	baseTag := response.Header.Get("Delta-Base")
	manipulation := response.Header.Get("Im")
	if r.state == nil || baseTag != r.tag || !strings.EqualFold(manipulation, stateChangeManipulation) {
		return fmt.Errorf("a change onto %s came, not onto what is held", baseTag)
	}
	change := &statepb.Change{}
	if err := proto.Unmarshal(response.Body, change); err != nil {
		return fmt.Errorf("reading a change: %w", err)
	}
	state.Apply(r.state, change)
	return nil
}
