package response

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// ReconstructedQueue reconstructs the queue of a host from its attempts, in the order of their arrival. With first
// come, first served and c cores, the service of an attempt begins when all but c-1 of the attempts before it have
// completed (the recursion of Kiefer and Wolfowitz, applied to recorded completions). This separates waiting from
// service.
type ReconstructedQueue struct {
	cores        int
	completions  []completion // of the attempts that are not completed yet, in order of time
	waitUnknown  bool         // since an attempt was given up: no later one was fast enough to show an empty queue
	serviceRatio float64      // moving average of the service times relative to the base service time of the class
}

// completion is the end of an attempt's service. It is estimated for an attempt that was given up.
type completion struct {
	atMs      float64
	estimated bool
}

// NewReconstructedQueue returns an empty queue of a host with a number of cores.
func NewReconstructedQueue(cores int) *ReconstructedQueue {
	return &ReconstructedQueue{cores: max(cores, 1), serviceRatio: 1}
}

// StartTime returns the time at which the service of an attempt that arrives at a time begins. The times must not
// decrease.
func (q *ReconstructedQueue) StartTime(atMs float64) float64 {
	next := sort.Search(len(q.completions), func(i int) bool { return q.completions[i].atMs > atMs })
	q.completions = q.completions[next:]
	if n := len(q.completions); n >= q.cores {
		return q.completions[n-q.cores].atMs
	}
	return atMs
}

// AddCompletion adds the completion of the attempt that arrived last.
func (q *ReconstructedQueue) AddCompletion(atMs float64, estimated bool) {
	i := sort.Search(len(q.completions), func(i int) bool { return q.completions[i].atMs >= atMs })
	q.completions = slices.Insert(q.completions, i, completion{atMs, estimated})
}

// AdvanceEstimates moves the estimated completions to an earlier time, after an attempt completed before its service
// could have begun by the estimates.
func (q *ReconstructedQueue) AdvanceEstimates(byMs float64) {
	for i := range q.completions {
		if q.completions[i].estimated {
			q.completions[i].atMs -= byMs
		}
	}
	slices.SortStableFunc(q.completions, func(a, b completion) int { return cmp.Compare(a.atMs, b.atMs) })
}

// QueueReconstruction reconstructs the queues of a model's hosts.
type QueueReconstruction struct {
	model  *Model
	queues map[string]*ReconstructedQueue
}

// NewQueueReconstruction returns empty queues for hosts with the cores that the model has fitted.
func NewQueueReconstruction(model *Model) *QueueReconstruction {
	return &QueueReconstruction{model, map[string]*ReconstructedQueue{}}
}

// AddAttempt returns when the service of a recorded attempt began and how long it took. For an attempt that was given
// up it returns how long it had been served by then, which may be 0. The attempts of a host must be added in the order
// of their arrival.
func (r *QueueReconstruction) AddAttempt(
	class, host string, atMs, latencyMs float64, result Result,
) (startMs, serviceMs float64) {
	queue := r.queues[host]
	if queue == nil {
		parameters := r.model.Parameters(host)
		queue = NewReconstructedQueue(parameters.Cores)
		queue.serviceRatio = parameters.ServiceTimeFactor
		r.queues[host] = queue
	}
	startMs, endMs := queue.StartTime(atMs), atMs+latencyMs
	if result == NeverRan {
		r.model.observeRejection(host, atMs, len(queue.completions)-queue.cores)
		return atMs, 0
	}
	baseMs := r.model.BaseServiceTime(class)
	if estimatedStartMs := math.Max(atMs, endMs-baseMs*queue.serviceRatio); result == Fulfilled {
		if endMs-atMs < maxUnqueuedRatio*baseMs*queue.serviceRatio {
			queue.waitUnknown = false
		}
		if startMs >= endMs {
			queue.AdvanceEstimates(startMs - estimatedStartMs)
			startMs = estimatedStartMs
		} else if queue.waitUnknown && endMs-startMs > maxUnqueuedRatio*baseMs*queue.serviceRatio {
			startMs = estimatedStartMs // a longer wait is likelier than a service of unusual length
		}
	} else {
		queue.waitUnknown = true
	}
	serviceMs = math.Max(endMs-startMs, 0)
	if result == Fulfilled {
		serviceMs = math.Max(serviceMs, minServiceRatio*baseMs)
		queue.serviceRatio += (serviceMs/baseMs - queue.serviceRatio) * serviceRatioSmoothing
	} else { // an attempt that was given up is not stopped: its service is assumed to take as long as recent ones
		endMs = startMs + baseMs*queue.serviceRatio
	}
	queue.AddCompletion(endMs, result != Fulfilled)
	return startMs, serviceMs
}

// maxUnqueuedRatio is the latency relative to recent service times below which an attempt did not wait.
const maxUnqueuedRatio = 1.5

// serviceRatioSmoothing is the weight of the latest attempt in the moving average of the service times.
const serviceRatioSmoothing = 0.2

// minServiceRatio is the smallest service time relative to the base service time of the class. Attempts that overtook
// others in the queue appear to have taken less.
const minServiceRatio = 0.05
