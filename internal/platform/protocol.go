package platform

import "barleysail/internal/resp"

// Kinds of the messages that proxies, collectors and controllers exchange: the first word of each.
const (
	kindPing         = "PING"
	kindPong         = "PONG"
	kindSubscribe    = "SUBSCRIBE" // a proxy identifies itself
	kindCollector    = "SOURCE"    // a zone's collector of reports identifies itself
	kindHostReport   = "LOAD"
	kindDemandReport = "RATE"
	kindAck          = "ACK"
	kindUpdate       = "CONFIG"
)

// Names of the fields that follow the kind, each followed by its value.
const (
	fieldZone       = "zone"
	fieldHost       = "server"
	fieldProxy      = "proxy"
	fieldClass      = "class"
	fieldAttempts   = "tries"
	fieldFailures   = "failed"
	fieldMeanMs     = "mean_ms"
	fieldIntervalMs = "span_ms"
	fieldLoad       = "load"
	fieldWeight     = "weight"
	fieldFresh      = "fresh" // whether the proxy holds no table
	fieldStamp      = "mark"  // in an acknowledgement
	fieldAckTookMs  = "took_ms"

	fieldClasses        = "for"
	fieldSnapshot       = "replace"
	fieldEntries        = "rows"
	fieldAdmissionRatio = "gate"
	fieldRetryPolicy    = "again"
	fieldMoreParts      = "part"  // another part of the same message follows
	fieldUpdateStamp    = "stamp" // in an update
)

// classSeparator separates the names of request classes in a field.
const classSeparator = "+"

// Values of boolean fields.
const (
	valueNo  = "0"
	valueYes = "1"
)

var pongMessage = resp.Append(nil, kindPong)

// isPing reports whether a message asks for a PONG.
func isPing(words []string) bool { return len(words) == 1 && words[0] == kindPing }
