package platform

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// Bounds of the values in messages. A value beyond its bound makes the message malformed: it would distort the
// statistics of a host for a long time.
const (
	// maxAttemptsPerMs bounds the attempts of a zone's proxies at one host, and the requests that arrive at one proxy.
	maxAttemptsPerMs = 1000.0
	maxIntervalMs    = 600e3
	maxStamp         = 65535 // limit of the protocol
	maxWeight        = 1e6   // requests per second

	// maxUnknownKindBytes is how much of an unknown kind is kept for the error text.
	maxUnknownKindBytes = 80

	// maxHostNameBytes bounds the name of a host in a report, which is kept until the event loop has looked it up.
	maxHostNameBytes = 1024

	// latencyTolerance bounds a mean latency, as a multiple of the longest deadline: an attempt that took longer than
	// its deadline would have failed, but reports are noisy.
	latencyTolerance = 2
)

// layoutError is the error of a message whose words are not a kind followed by pairs of a field name and a value, or in
// which a field name occurs twice.
type layoutError struct {
	problem string
}

func (e *layoutError) Error() string { return e.problem }

// fieldError is the error of a field that is missing, malformed or out of range, or that names something unknown.
type fieldError struct {
	field   string
	problem string // the rest of the error text, after the name of the field
}

func (e *fieldError) Error() string { return e.field + " " + e.problem }

// invalidValue returns the error of a field with an invalid value. It truncates the value, since a peer may send a very
// long one.
func invalidValue(field, value string) error {
	return &fieldError{field, fmt.Sprintf("has invalid value %.20q", value)}
}

// unknownKindError is the error of a message of a kind that a session may not send.
type unknownKindError struct {
	kind string // at most maxUnknownKindBytes of it
}

// unknownKind returns the error for a kind. It copies the part that it keeps, since a peer may send a very long kind.
func unknownKind(kind string) error {
	return &unknownKindError{strings.Clone(kind[:min(len(kind), maxUnknownKindBytes)])}
}

func (e *unknownKindError) Error() string { return fmt.Sprintf("unknown kind %.20q", e.kind) }

// fieldReader reads the fields of a message by name. It keeps its first error, like bufio.Scanner: the caller reads all
// fields of the message and then checks err; after an error the values are meaningless.
type fieldReader struct {
	values map[string]string // an absent field has the empty value
	err    error
}

// newFieldReader returns a reader of the fields that follow a message's kind. The error is a *layoutError.
func newFieldReader(words []string) (*fieldReader, error) {
	if len(words)%2 != 1 {
		return nil, &layoutError{fmt.Sprintf("%d words are not a kind and pairs of a name and a value", len(words))}
	}
	values := make(map[string]string, len(words)/2)
	for i := 1; i < len(words); i += 2 {
		name := words[i]
		if _, duplicate := values[name]; duplicate {
			return nil, &layoutError{fmt.Sprintf("field %.20q occurs twice", name)}
		}
		values[name] = words[i+1]
	}
	return &fieldReader{values: values}, nil
}

// fail records an error unless there was one before.
func (r *fieldReader) fail(err error) {
	if r.err == nil {
		r.err = err
	}
}

// integer reads an integer field from 0 to limit.
func (r *fieldReader) integer(name string, limit int) int {
	value, err := strconv.ParseUint(r.values[name], 10, 63)
	if err != nil || value > uint64(limit) {
		r.fail(invalidValue(name, r.values[name]))
		return 0
	}
	return int(value)
}

// number reads a floating-point field from 0 to limit.
func (r *fieldReader) number(name string, limit float64) float64 {
	value, err := strconv.ParseFloat(r.values[name], 64)
	inRange := value >= 0 && value <= limit // false for NaN
	if err != nil || !inRange {
		r.fail(invalidValue(name, r.values[name]))
		return 0
	}
	return value
}

// index reads a field that holds a name and returns the index that lookup finds for the name.
func (r *fieldReader) index(name string, lookup func(string) (int, bool)) int {
	index, known := lookup(r.values[name])
	if !known {
		r.fail(invalidValue(name, r.values[name]))
	}
	return index
}

// boolean reads a boolean field, whose value must be valueYes or valueNo.
func (r *fieldReader) boolean(name string) bool {
	value := r.values[name]
	if value != valueNo && value != valueYes {
		r.fail(invalidValue(name, value))
	}
	return value == valueYes
}

// attemptCounts reads the counters that host reports and demand reports have in common.
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

// messageDecoder decodes the words of messages into typed messages and validates them against the settings. It is
// immutable, so the goroutines that read connections share it.
type messageDecoder struct {
	zoneIndex  func(name string) (int, bool)
	classIndex func(name string) (int, bool)
	maxProxy   int
	maxMeanMs  float64 // largest valid mean latency, in ms
}

func newMessageDecoder(settings *simwire.Settings, balancer *instance.Instance) *messageDecoder {
	decoder := &messageDecoder{
		zoneIndex:  balancer.ZoneIndex,
		classIndex: balancer.ClassIndex,
		maxProxy:   *settings.FamilyInfo.DataPlaneSize - 1,
	}
	for _, service := range settings.Services {
		deadlineMs := *service.HardLimitUs / microsecondsPerMs
		decoder.maxMeanMs = math.Max(decoder.maxMeanMs, latencyTolerance*deadlineMs)
	}
	return decoder
}

// decodeSessionMessage decodes a message of an identified connection. The error is a *layoutError, a *fieldError or an
// *unknownKindError.
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
		return nil, unknownKind(words[0])
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
	reader.boolean(fieldFresh) // only validated: a proxy always gets a snapshot
	return message
}

func (d *messageDecoder) readCollector(reader *fieldReader) collectorMessage {
	return collectorMessage{zone: reader.index(fieldZone, d.zoneIndex)}
}

func (d *messageDecoder) readHostReport(reader *fieldReader) hostReport {
	reader.index(fieldZone, d.zoneIndex) // only validated: the balancer treats the reports of all zones alike
	message := hostReport{
		host:          reader.values[fieldHost],
		attemptCounts: reader.attemptCounts(),
		load:          routing.UnknownLoad,
	}
	if len(message.host) > maxHostNameBytes {
		reader.fail(invalidValue(fieldHost, message.host))
	}
	if message.failures > message.attempts {
		problem := fmt.Sprintf("is %d, more than the %d attempts", message.failures, message.attempts)
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
	reader.number(fieldAckTookMs, maxIntervalMs) // only validated
	return message
}
