package controller

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"strings"

	"barleysail/routing"
)

// maxHosts bounds a list; indices and tables grow with it.
const maxHosts = 50000

var dnsNamePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?(\.[A-Za-z0-9]([A-Za-z0-9-]*[A-Za-z0-9])?)*$`)

// CheckAddress tells what is wrong with an address:port, if anything.
func CheckAddress(host string) error {
	if a, err := netip.ParseAddrPort(host); err == nil && a.Port() > 0 {
		return nil
	}
	at := strings.LastIndexByte(host, ':')
	if at < 0 {
		return fmt.Errorf("%q is no address:port", host)
	}
	port, err := strconv.ParseUint(host[at+1:], 10, 16)
	if err != nil || port == 0 || len(host) > 255 || !dnsNamePattern.MatchString(host[:at]) ||
		strings.Trim(host[:at], "0123456789.") == "" {
		return fmt.Errorf("%q is no address:port", host)
	}
	return nil
}

func (s *Controller) checkEndpoints(entries []Endpoint) error {
	if len(entries) > maxHosts {
		return invalidField("hosts", "%d entries, %d at most", len(entries), maxHosts)
	}
	seen := make(map[string]bool, len(entries))
	for i, e := range entries {
		field := fmt.Sprintf("hosts[%d]", i)
		if err := CheckAddress(e.Host); err != nil {
			return invalidField(field+".address", "%v", err)
		}
		if seen[e.Host] {
			return invalidField(field+".address", "%s stands there twice", e.Host)
		}
		seen[e.Host] = true
		if _, ok := s.zoneIndex[e.Zone]; !ok {
			return invalidField(field+".zone", "%q is not among the zones %s", e.Zone, strings.Join(s.deployment.Zones, ", "))
		}
		if e.State != routing.Ready && e.State != routing.Draining {
			return invalidField(field+".phase", "%d is neither ready nor draining", e.State)
		}
		if !(e.Weight >= 0 && e.Weight <= 1e6) {
			return invalidField(field+".weight", "%g is not from 0 to 1000000", e.Weight)
		}
		if !(e.Cores >= 0 && e.Cores <= 1e9) || !(e.Speed >= 0 && e.Speed <= 1e9) {
			return invalidField(field+".cores", "%g cores of speed %g", e.Cores, e.Speed)
		}
		if !(e.StartedMs >= 0 && e.StartedMs <= 1e15) {
			return invalidField(field+".started", "%g is no time", e.StartedMs)
		}
	}
	return nil
}
