package replay

import (
	"errors"
	"io"
	"math"

	"barleysail/internal/deadlinequeue"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
	"barleysail/routing"
)

// lookahead reads merged records ahead of those that it returns. It passes what it reads to the response-time model,
// reconstructs the queues of the hosts, and returns each record with the service times of its attempts, once the model
// has the records of some time after it.
type lookahead struct {
	records     *recordMerger
	model       *response.Model
	queues      *response.QueueReconstruction // nil: service times are not wanted
	lookaheadMs float64                       // how far it reads ahead
	output      []*analyzedRecord
	pending     deadlinequeue.Queue[func()]
	readMs      float64 // time of the last record that was read
	closedMs    float64 // the model's windows before this time are closed
	ended       bool
}

// analyzedRecord is a record with the service times of its attempts, in their order.
type analyzedRecord struct {
	timedRecord
	services []attemptService
}

// attemptService is when the service of an attempt began, after its wait in the queue, and how long it took.
type attemptService struct{ startMs, serviceMs float64 }

// extraLookaheadMs is how far the lookahead extends beyond the reorder time.
const extraLookaheadMs = 3000.0

// newLookahead opens the recordings and returns their records from the first on. The records have service times if
// queues is set.
func (a *analysis) newLookahead(open OpenFunc, reorderMs float64, queues bool) (*lookahead, error) {
	records, err := mergeRecords(open, a.clockOffsets, reorderMs)
	if err != nil {
		return nil, err
	}
	l := &lookahead{records: records, model: a.model, lookaheadMs: reorderMs + extraLookaheadMs, readMs: a.fromMs}
	if queues {
		l.queues = response.NewQueueReconstruction(a.model)
	}
	return l, nil
}

// next returns the next record in order of time, and io.EOF after the last.
func (l *lookahead) next() (*analyzedRecord, error) {
	for !l.ended && (len(l.output) == 0 || l.output[0].atMs > l.readMs-l.lookaheadMs) {
		record, err := l.records.next()
		if errors.Is(err, io.EOF) {
			l.ended = true
			l.addAttemptsUntil(infiniteMs)
			l.model.CloseWindows(l.readMs + l.lookaheadMs)
			break
		}
		if err != nil {
			return nil, err
		}
		l.readMs = math.Max(l.readMs, record.atMs)
		l.addAttemptsUntil(record.atMs)
		if l.readMs >= l.closedMs+closeIntervalMs {
			l.closedMs = l.readMs
			l.model.CloseWindows(l.readMs)
			l.model.DiscardBefore(l.readMs - l.lookaheadMs)
		}
		l.add(record)
	}
	if len(l.output) == 0 {
		return nil, io.EOF
	}
	first := l.output[0]
	l.output[0] = nil
	l.output = l.output[1:]
	return first, nil
}

// closeIntervalMs is the interval at which the model's windows are closed, and those before the returned records are
// discarded.
const closeIntervalMs = 250.0

const infiniteMs = 1e18 // later than any record

// addAttemptsUntil adds the attempts that began before a time to the queues of their hosts: no earlier attempt can
// follow.
func (l *lookahead) addAttemptsUntil(atMs float64) {
	for {
		addAttempt, ok := l.pending.Pop(atMs)
		if !ok {
			return
		}
		addAttempt()
	}
}

// add passes a record to the model.
func (l *lookahead) add(read timedRecord) {
	analyzed := &analyzedRecord{timedRecord: read}
	l.output = append(l.output, analyzed)
	switch what := read.record.What.(type) {
	case *recordpb.Record_Transaction:
		request := what.Transaction
		analyzed.services = make([]attemptService, len(request.Tries))
		for i, attempt := range request.Tries {
			l.model.ObserveAttempt(request.Class, attempt.Host, attempt.At, attempt.Took, response.Result(attempt.Result))
			if l.queues != nil {
				l.pending.Schedule(attempt.At, func() { l.addAttempt(analyzed, request.Class, i, attempt) })
			}
		}
	case *recordpb.Record_Probed:
		outcome := routing.HealthCheckResult(what.Probed.Outcome)
		l.model.ObserveHealthCheck(what.Probed.Host, read.atMs, outcome == routing.Healthy,
			outcome == routing.Unreachable)
	case *recordpb.Record_Sums:
		for _, host := range what.Sums.Hosts {
			if host.Load != nil {
				l.model.ObserveUtilization(host.Host, read.atMs, host.Load.Util)
			}
		}
	}
}

// addAttempt adds an attempt to the queue of its host, and passes its service time to the record and the model.
func (l *lookahead) addAttempt(record *analyzedRecord, class string, i int, attempt *recordpb.Try) {
	result := response.Result(attempt.Result)
	startMs, serviceMs := l.queues.AddAttempt(class, attempt.Host, attempt.At, attempt.Took, result)
	record.services[i] = attemptService{startMs, serviceMs}
	l.model.ObserveServiceTime(class, attempt.Host, attempt.At, attempt.Took, startMs, serviceMs, result)
}

// readAll reads all records, for their effect on the model.
func (l *lookahead) readAll() error {
	for {
		if _, err := l.next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}
