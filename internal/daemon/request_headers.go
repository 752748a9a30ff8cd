package daemon

import (
	"math"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"barleysail/internal/http1"
)

// entityTags parses If-None-Match (RFC 9110, section 13.1.2). It returns the tags, weak ones included, without quotes.
// matchAny is true for "*", which matches any version. It ignores the rest of a line after a syntax error.
func entityTags(header textproto.MIMEHeader) (tags []string, matchAny bool) {
	for _, line := range header.Values("If-None-Match") {
		rest := textproto.TrimString(line)
		if rest == "*" {
			return nil, true
		}
		for rest != "" {
			var tag string
			var ok bool
			tag, rest, ok = cutEntityTag(rest)
			if !ok {
				break
			}
			tags = append(tags, tag)
		}
	}
	return tags, false
}

// cutEntityTag cuts the first entity tag from a list of them. ok is false if the list does not begin with one.
func cutEntityTag(list string) (tag, rest string, ok bool) {
	list = strings.TrimLeft(list, ", \t")
	list = strings.TrimPrefix(list, "W/")
	quoted, ok := strings.CutPrefix(list, `"`)
	if !ok {
		return "", "", false
	}
	return strings.Cut(quoted, `"`)
}

// preferredWait parses the preference wait=N in whole seconds (RFC 7240, sections 2 and 4.3). Only the first one
// counts; ok is false if there is none or it is malformed.
func preferredWait(header textproto.MIMEHeader) (seconds float64, ok bool) {
	for _, line := range header.Values("Prefer") {
		for preference := range strings.SplitSeq(line, ",") {
			preference, _, _ = strings.Cut(preference, ";")
			name, value, _ := strings.Cut(preference, "=")
			if !strings.EqualFold(textproto.TrimString(name), "wait") {
				continue
			}
			number, err := strconv.ParseUint(strings.Trim(textproto.TrimString(value), `"`), 10, 31)
			return float64(number), err == nil
		}
	}
	return 0, false
}

// acceptsManipulation reports whether A-IM names an instance manipulation, and not with q=0 (RFC 3229, section 10.5.3).
func acceptsManipulation(header textproto.MIMEHeader, manipulation string) bool {
	for _, line := range header.Values("A-Im") {
		for item := range strings.SplitSeq(line, ",") {
			name, parameters, _ := strings.Cut(item, ";")
			if !strings.EqualFold(textproto.TrimString(name), manipulation) {
				continue
			}
			_, quality, ok := strings.Cut(parameters, "q=")
			if !ok {
				return true
			}
			weight, err := strconv.ParseFloat(textproto.TrimString(quality), 64)
			return err == nil && weight > 0
		}
	}
	return false
}

// boundWaitMs returns the wait of a long poll in ms, bounded by the time until its connection retires, shortly before
// a certificate expires, or until its bearer token expires. The proxy then polls again on a connection with its renewed
// credentials.
func boundWaitMs(request *http1.Request, waitMs float64) float64 {
	deadline, ok := request.HoldDeadline()
	if !ok {
		return waitMs
	}
	remainingMs := time.Until(deadline).Seconds() * msPerSecond
	return math.Min(waitMs, math.Max(remainingMs, 0))
}

// retryAfterSeconds returns the value of a Retry-After field, in whole seconds, rounded up.
func retryAfterSeconds(delay time.Duration) string {
	return strconv.Itoa(int(math.Ceil(delay.Seconds())))
}
