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
	cores int
	ends  []end   // when those that are still in it are done, in order
	blind bool    // a try was given up, and none since was done so soon that nobody can have waited before it
	ratio float64 // of what tries lately worked to their class's usual time
}

// end of a try; one that is a guess is of a try that was given up.
type end struct {
	at    float64
	guess bool
}

// NewLine makes an empty one.
func NewReconstructedQueue(cores int) *ReconstructedQueue {
	return &ReconstructedQueue{cores: max(cores, 1), ratio: 1}
}

// Begins tells when a try that comes at a time begins. Times must not fall.
func (l *ReconstructedQueue) StartTime(at float64) float64 {
	l.ends = l.ends[sort.Search(len(l.ends), func(i int) bool { return l.ends[i].at > at }):]
	if n := len(l.ends); n >= l.cores {
		return l.ends[n-l.cores].at
	}
	return at
}

// Done notes when the try that came last is done, and whether that is a guess.
func (l *ReconstructedQueue) AddCompletion(at float64, guess bool) {
	i := sort.Search(len(l.ends), func(i int) bool { return l.ends[i].at >= at })
	l.ends = slices.Insert(l.ends, i, end{at, guess})
}

// Sooner moves the guesses by so much: a try was done before they would have let it begin.
func (l *ReconstructedQueue) AdvanceEstimates(ms float64) {
	for i := range l.ends {
		if l.ends[i].guess {
			l.ends[i].at -= ms
		}
	}
	slices.SortStableFunc(l.ends, func(a, b end) int { return cmp.Compare(a.at, b.at) })
}

// Lines are those of a model's hosts.
type QueueReconstruction struct {
	model *Model
	lines map[string]*ReconstructedQueue
}

// NewLines makes empty lines, over the cores that the model has found.
func NewQueueReconstruction(m *Model) *QueueReconstruction {
	return &QueueReconstruction{m, map[string]*ReconstructedQueue{}}
}

// Took tells, of a try as it was recorded, when its work began and how long that took; for one that failed how long
// it had worked when it was given up, which may be nothing. Tries of a host must come in the order of their times.
func (l *QueueReconstruction) AddAttempt(class, host string, at, took float64, how Result) (begin, service float64) {
	line := l.lines[host]
	if line == nil {
		h := l.model.Parameters(host)
		line = NewReconstructedQueue(h.Cores)
		line.ratio = h.ServiceTimeFactor
		l.lines[host] = line
	}
	begin, done := line.StartTime(at), at+took
	if how == NeverRan {
		l.model.refused(host, at, len(line.ends)-line.cores)
		return at, 0
	}
	usual := l.model.BaseServiceTime(class)
	if began := math.Max(at, done-usual*line.ratio); how == Fulfilled {
		if done-at < soonDone*usual*line.ratio {
			line.blind = false
		}
		if begin >= done {
			line.AdvanceEstimates(begin - began)
			begin = began
		} else if line.blind && done-begin > soonDone*usual*line.ratio {
			begin = began // it waited longer than the guesses have it, rather than that it was slow
		}
	} else {
		line.blind = true
	}
	service = math.Max(done-begin, 0)
	if how == Fulfilled {
		service = math.Max(service, leastWork*usual)
		line.ratio += (service/usual - line.ratio) * newRatio
	} else { // it was given up and not stopped: it is taken to work as long as those lately done
		done = begin + usual*line.ratio
	}
	line.AddCompletion(done, how != Fulfilled)
	return begin, service
}

// soonDone times what its like took: a try that took less did not wait.
const soonDone = 1.5

// newRatio is the weight of a try's work in what tries lately worked.
const newRatio = 0.2

// leastWork of a try against its class's usual time: one that overtook others in the line seems to have done less.
const leastWork = 0.05
