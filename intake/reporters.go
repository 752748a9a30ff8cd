package intake

import "slices"

// Reporters distinguishes new reports of one source from repeated ones, by the sequence number that each incarnation
// of the source increments. A source that restarts sends a new incarnation id. If an incarnation reports again after a
// later one did, two processes report under one name. The zero value is ready to use.
type Reporters struct {
	recent          []reporter // the newest last
	duplicateSeenMs float64    // instant at which two reporters were last seen to alternate; 0: never
}

// reporter is one incarnation of a source.
type reporter struct {
	id         string
	sequence   int64 // of its newest report
	lastSeenMs float64
}

const (
	maxReporters      = 4       // incarnations of one source that are remembered
	duplicateWindowMs = 10000.0 // time for which a name counts as duplicate after two reporters alternated
)

// Accept records a report. It reports whether the sequence number is new, and whether two reporters use the same name.
func (r *Reporters) Accept(nowMs float64, id string, sequence int64) (isNew, duplicate bool) {
	isNew = r.observe(nowMs, id, sequence)
	return isNew, r.HasDuplicate(nowMs)
}

// observe records a report and reports whether it is new.
func (r *Reporters) observe(nowMs float64, id string, sequence int64) (isNew bool) {
	index := slices.IndexFunc(r.recent, func(known reporter) bool { return known.id == id })
	if index >= 0 {
		known := r.recent[index]
		if sequence <= known.sequence {
			return false
		}
		isNewest := index == len(r.recent)-1
		if !isNewest && nowMs-known.lastSeenMs < duplicateWindowMs {
			r.duplicateSeenMs = nowMs
		}
		r.recent = slices.Delete(r.recent, index, index+1)
	}
	r.recent = append(r.recent, reporter{id: id, sequence: sequence, lastSeenMs: nowMs})
	if len(r.recent) > maxReporters {
		r.recent = r.recent[1:]
	}
	return true
}

// Identified returns the reporters that have an id.
func (r *Reporters) Identified() Reporters {
	isAnonymous := func(known reporter) bool { return known.id == "" }
	return Reporters{recent: slices.DeleteFunc(slices.Clone(r.recent), isAnonymous)}
}

// Empty reports whether no reporter is known.
func (r *Reporters) Empty() bool { return len(r.recent) == 0 }

// HasDuplicate reports whether two reporters used the same name within the last duplicateWindowMs.
func (r *Reporters) HasDuplicate(nowMs float64) bool {
	return r.duplicateSeenMs > 0 && nowMs-r.duplicateSeenMs < duplicateWindowMs
}
