package daemon

import (
	"fmt"
	"net/url"

	"barleysail/internal/http1"
)

const (
	maxResponseLineBytes   = 8 << 10
	maxResponseHeaderBytes = 32 << 10
)

// clientLimits returns the bounds of the responses that an HTTP client of the daemon reads.
func clientLimits(maxBodyBytes int64) http1.Limits {
	return http1.Limits{LineBytes: maxResponseLineBytes, HeaderBytes: maxResponseHeaderBytes, BodyBytes: maxBodyBytes}
}

// parseServiceURL parses the URL of a service that the daemon calls, and returns it with the address:port to dial. The
// scheme has to be https if secure is set, that is, if the daemon has credentials, and http otherwise. The error begins
// with the name of the setting.
func parseServiceURL(setting, text string, secure bool) (service *url.URL, address string, err error) {
	scheme := "http"
	defaultPort := ":80"
	if secure {
		scheme = "https"
		defaultPort = ":443"
	}
	service, err = url.Parse(text)
	if err != nil || service.Scheme != scheme || service.Host == "" {
		return nil, "", fmt.Errorf("%s: %q is not an %s URL", setting, text, scheme)
	}
	address = service.Host
	if service.Port() == "" {
		address += defaultPort
	}
	return service, address, nil
}
