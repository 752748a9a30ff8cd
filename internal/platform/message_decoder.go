package platform

import (
	"fmt"
	"math"
	"strconv"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// Bounds of what a message may say. What is beyond them is malformed: it would distort a host's figures for long.
const (
	// maxAttemptsPerMs bounds the attempts of a zone's proxies at one host, and the requests that come to one proxy.
	maxAttemptsPerMs = 1000.0
	maxIntervalMs    = 600e3
	maxStamp         = 65535 // the protocol's
	maxWeight        = 1e6   // requests per second

	// latencyTolerance is how far beyond the deadline a mean latency may be: attempts that did not fail kept it, give
	// or take the noise of reports.
	latencyTolerance = 2
)

// layoutError says that the words of a message are not a kind followed by names and values.
type layoutError struct {
	problem string
}

func (e *layoutError) Error() string { return e.problem }

// fieldError says which field of a message is missing, malformed, out of range or names something unknown.
type fieldError struct {
	field   string
	problem string // follows the field's name
}

func (e *fieldError) Error() string { return e.field + " " + e.problem }

// invalidValue is the error of a field whose value cannot be used. The value is cut, since a peer chooses its length.
func invalidValue(field, value string) error {
	return &fieldError{field, fmt.Sprintf("is %.20q", value)}
}

// unknownKindError says that a message is none that a session may send.
type unknownKindError struct {
	kind string
}

func (e *unknownKindError) Error() string { return fmt.Sprintf("unknown kind %.20q", e.kind) }

// fieldReader reads the values of a message by their names. It keeps its first error, after which values mean
// nothing: the caller reads all that the message should have, and then looks at err.
type fieldReader struct {
	values map[string]string // an absent field has the empty value
	err    error
}

// newFieldReader takes the names and values that follow a message's kind; each name may stand once. The error is a
// *layoutError.
func newFieldReader(words []string) (*fieldReader, error) {
	if len(words)%2 != 1 {
		return nil, &layoutError{fmt.Sprintf("%d words", len(words))}
	}
	values := make(map[string]string, len(words)/2)
	for i := 1; i < len(words); i += 2 {
		name, value := words[i], words[i+1]
		if _, duplicate := values[name]; duplicate {
			return nil, &layoutError{fmt.Sprintf("%.20q stands twice", name)}
		}
		values[name] = value
	}
	return &fieldReader{values: values}, nil
}

// fail notes an error, unless there was one before.
func (r *fieldReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// integer reads a whole number from 0 to the limit.
func (r *fieldReader) integer(name string, limit int) int {
	value, err := strconv.ParseUint(r.values[name], 10, 63)
	if err != nil || value > uint64(limit) {
		r.fail(invalidValue(name, r.values[name]))
		return 0
	}
	return int(value)
}

// number reads a number from 0 to the limit.
func (r *fieldReader) number(name string, limit float64) float64 {
	value, err := strconv.ParseFloat(r.values[name], 64)
	inRange := value >= 0 && value <= limit // false for NaN
	if err != nil || !inRange {
		r.fail(invalidValue(name, r.values[name]))
		return 0
	}
	return value
}

// index reads a name and returns the index that lookup has for it.
func (r *fieldReader) index(name string, lookup func(string) (int, bool)) int {
	index, known := lookup(r.values[name])
	if !known {
		r.fail(invalidValue(name, r.values[name]))
	}
	return index
}

// yesOrNo reads a field that must be one of the two.
func (r *fieldReader) yesOrNo(name string) bool {
	value := r.values[name]
	if value != valueNo && value != valueYes {
		r.fail(invalidValue(name, value))
	}
	return value == valueYes
}

// attemptCounts reads what host reports and demand reports have in common.
func (r *fieldReader) attemptCounts() attemptCounts {
	intervalMs := r.number(fieldIntervalMs, maxIntervalMs)
	if intervalMs == 0 {
		r.fail(&fieldError{fieldIntervalMs, "is 0"})
	}
	limit := int(intervalMs*maxAttemptsPerMs) + 1
	return attemptCounts{
		intervalMs: intervalMs,
		attempts:   r.integer(fieldAttempts, limit),
		failures:   r.integer(fieldFailures, limit),
	}
}

// messageDecoder decodes the words of messages into typed ones, checked against the settings. It holds only what
// never changes, so each connection's reader uses it from its own goroutine.
type messageDecoder struct {
	zoneIndex  func(name string) (int, bool)
	classIndex func(name string) (int, bool)
	maxProxy   int
	maxMeanMs  float64
}

func newMessageDecoder(settings *simwire.Settings, names *instance.Instance) *messageDecoder {
	decoder := &messageDecoder{
		zoneIndex:  names.ZoneIndex,
		classIndex: names.ClassIndex,
		maxProxy:   *settings.FamilyInfo.DataPlaneSize - 1,
	}
	for _, service := range settings.Services {
		deadlineMs := *service.HardLimitUs / microsecondsPerMs
		decoder.maxMeanMs = math.Max(decoder.maxMeanMs, latencyTolerance*deadlineMs)
	}
	return decoder
}

// decodeSessionMessage decodes a message that is not the first one of its connection. The error is a *layoutError, a
// *fieldError or an *unknownKindError.
func (d *messageDecoder) decodeSessionMessage(words []string) (sessionMessage, error) {
	reader, err := newFieldReader(words)
	if err != nil {
		return nil, err
	}
	var message sessionMessage
	switch words[0] {
	case kindHostReport:
		message = d.readHostReport(reader)
	case kindDemandReport:
		message = d.readDemandReport(reader)
	case kindAck:
		message = d.readAck(reader)
	default:
		return nil, &unknownKindError{words[0]}
	}
	if reader.err != nil {
		return nil, reader.err
	}
	return message, nil
}

func (d *messageDecoder) readSubscribe(reader *fieldReader) subscribeMessage {
	message := subscribeMessage{
		proxy:  reader.integer(fieldProxy, d.maxProxy),
		zone:   reader.index(fieldZone, d.zoneIndex),
		weight: reader.number(fieldWeight, maxWeight),
	}
	reader.yesOrNo(fieldFresh) // checked only: a proxy gets a snapshot in any case
	return message
}

func (d *messageDecoder) readCollector(reader *fieldReader) collectorMessage {
	return collectorMessage{zone: reader.index(fieldZone, d.zoneIndex)}
}

func (d *messageDecoder) readHostReport(reader *fieldReader) hostReport {
	reader.index(fieldZone, d.zoneIndex) // checked only: the balancer takes a host's reports of all zones alike
	message := hostReport{
		host:          reader.values[fieldHost],
		attemptCounts: reader.attemptCounts(),
		load:          routing.UnknownLoad,
	}
	if message.failures > message.attempts {
		problem := fmt.Sprintf("is %d of %d", message.failures, message.attempts)
		reader.fail(&fieldError{fieldFailures, problem})
	}
	message.meanMs = reader.number(fieldMeanMs, d.maxMeanMs)
	if text := reader.values[fieldLoad]; text != "" {
		load, err := parseLoad(text)
		if err != nil {
			reader.fail(err)
		}
		message.load = load
	}
	return message
}

func (d *messageDecoder) readDemandReport(reader *fieldReader) demandReport {
	return demandReport{
		proxy:         reader.integer(fieldProxy, d.maxProxy),
		class:         reader.index(fieldClass, d.classIndex),
		attemptCounts: reader.attemptCounts(),
	}
}

func (d *messageDecoder) readAck(reader *fieldReader) ackMessage {
	message := ackMessage{
		proxy: reader.integer(fieldProxy, d.maxProxy),
		stamp: reader.integer(fieldStamp, maxStamp),
	}
	reader.number(fieldAckTookMs, maxIntervalMs) // checked only
	return message
}
