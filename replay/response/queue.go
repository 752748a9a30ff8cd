package response

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// Line puts together a host's queue from the tries that it got, in the order in which they came: with first come,
// first served over known cores a try begins when all but one fewer than the cores of those ahead of it are done
// (Kiefer and Wolfowitz's recursion, read backwards), so what it waited and what it worked come apart.
type ReconstructedQueue struct {
	cores        int
	completions  []completion // when those that are still in it are done, in order
	waitUnknown  bool         // a try was given up, and none since was done so soon that nobody can have waited before it
	serviceRatio float64      // of what tries lately worked to their class's usual time
}

// end of a try; one that is a guess is of a try that was given up.
type completion struct {
	atMs      float64
	estimated bool
}

// NewLine makes an empty one.
func NewReconstructedQueue(cores int) *ReconstructedQueue {
	return &ReconstructedQueue{cores: max(cores, 1), serviceRatio: 1}
}

// Begins tells when a try that comes at a time begins. Times must not fall.
func (q *ReconstructedQueue) StartTime(atMs float64) float64 {
	q.completions = q.completions[sort.Search(len(q.completions), func(i int) bool { return q.completions[i].atMs > atMs }):]
	if n := len(q.completions); n >= q.cores {
		return q.completions[n-q.cores].atMs
	}
	return atMs
}

// Done notes when the try that came last is done, and whether that is a guess.
func (q *ReconstructedQueue) AddCompletion(atMs float64, estimated bool) {
	i := sort.Search(len(q.completions), func(i int) bool { return q.completions[i].atMs >= atMs })
	q.completions = slices.Insert(q.completions, i, completion{atMs, estimated})
}

// Sooner moves the guesses by so much: a try was done before they would have let it begin.
func (q *ReconstructedQueue) AdvanceEstimates(byMs float64) {
	for i := range q.completions {
		if q.completions[i].estimated {
			q.completions[i].atMs -= byMs
		}
	}
	slices.SortStableFunc(q.completions, func(a, b completion) int { return cmp.Compare(a.atMs, b.atMs) })
}

// Lines are those of a model's hosts.
type QueueReconstruction struct {
	model  *Model
	queues map[string]*ReconstructedQueue
}

// NewLines makes empty lines, over the cores that the model has found.
func NewQueueReconstruction(model *Model) *QueueReconstruction {
	return &QueueReconstruction{model, map[string]*ReconstructedQueue{}}
}

// Took tells, of a try as it was recorded, when its work began and how long that took; for one that failed how long
// it had worked when it was given up, which may be nothing. Tries of a host must come in the order of their times.
func (r *QueueReconstruction) AddAttempt(class, host string, atMs, latencyMs float64, result Result) (startMs, serviceMs float64) {
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
			startMs = estimatedStartMs // it waited longer than the guesses have it, rather than that it was slow
		}
	} else {
		queue.waitUnknown = true
	}
	serviceMs = math.Max(endMs-startMs, 0)
	if result == Fulfilled {
		serviceMs = math.Max(serviceMs, minServiceRatio*baseMs)
		queue.serviceRatio += (serviceMs/baseMs - queue.serviceRatio) * serviceRatioSmoothing
	} else { // it was given up and not stopped: it is taken to work as long as those lately done
		endMs = startMs + baseMs*queue.serviceRatio
	}
	queue.AddCompletion(endMs, result != Fulfilled)
	return startMs, serviceMs
}

// soonDone times what its like took: a try that took less did not wait.
const maxUnqueuedRatio = 1.5

// newRatio is the weight of a try's work in what tries lately worked.
const serviceRatioSmoothing = 0.2

// leastWork of a try against its class's usual time: one that overtook others in the line seems to have done less.
const minServiceRatio = 0.05
