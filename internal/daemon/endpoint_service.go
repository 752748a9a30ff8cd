package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/rs/zerolog"

	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/routing"
)

// mergePatch names the instance manipulation (RFC 3229) whose body is a JSON merge patch (RFC 7396).
const mergePatch = "merge-patch"

// endpointService follows a host list by the protocol that proxies use: long polls with deltas onto entity tags.
// The module says when to ask; after a failure it waits for the next such word.
type endpointService struct {
	address, target string
	wait            time.Duration
	client          *http1.Client
	log             zerolog.Logger
	ctx             context.Context
	publish         func([]controller.Endpoint) error
	reportFailure   func()

	watching atomic.Bool
	tag      string
	document []byte
}

// endpointDocument is the document: hosts by address.
type endpointDocument struct {
	Hosts map[string]struct {
		Zone    string   `json:"zone"`
		Phase   string   `json:"phase"`
		Weight  *float64 `json:"weight"`
		Started float64  `json:"started"`
	} `json:"hosts"`
}

func newEndpointService(raw string, secure bool, wait time.Duration) (*endpointService, error) {
	u, address, err := parseServiceURL("list.url", raw, secure)
	if err != nil {
		return nil, err
	}
	return &endpointService{address: address, target: u.RequestURI(), wait: wait,
		client: &http1.Client{Limits: http1.Limits{Line: 8 << 10, Header: 32 << 10, Body: 64 << 20}}}, nil
}

// parseServiceURL reads the URL of a service that the steward calls: https where it has an identity, else http.
func parseServiceURL(field, raw string, secure bool) (u *url.URL, address string, err error) {
	scheme, port := "http", ":80"
	if secure {
		scheme, port = "https", ":443"
	}
	if u, err = url.Parse(raw); err != nil || u.Scheme != scheme || u.Host == "" {
		return nil, "", fmt.Errorf("%s: %q is no %s URL", field, raw, scheme)
	}
	if address = u.Host; u.Port() == "" {
		address += port
	}
	return u, address, nil
}

// startWatch asks for the list and then for its changes until that fails.
func (l *endpointService) startWatch() {
	if !l.watching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		err := error(nil)
		for err == nil {
			err = l.poll()
		}
		l.watching.Store(false)
		if l.ctx.Err() == nil {
			l.log.Warn().Err(err).Msg("host list not to be had, the last one stands")
			l.reportFailure()
		}
	}()
}

func (l *endpointService) poll() error {
	h := http1.Header("Accept", "application/json", "Prefer", "wait="+strconv.Itoa(int(l.wait.Seconds())))
	h["A-IM"] = []string{"merge-patch"}
	if l.tag != "" {
		h.Set("If-None-Match", l.tag)
	}
	ctx, cancel := context.WithTimeout(l.ctx, l.wait+10*time.Second)
	defer cancel()
	r, err := l.client.Call(ctx, "GET", l.address, l.target, h)
	if err != nil {
		return fmt.Errorf("asking for the list: %w", err)
	}
	doc := r.Body
	switch r.Status {
	case 304:
		return nil
	case 200:
	case 226:
		if base := r.Header.Get("Delta-Base"); l.tag == "" || base != l.tag || !strings.EqualFold(r.Header.Get("Im"), "merge-patch") {
			l.tag = ""
			return fmt.Errorf("a delta onto %s came, not onto what is held", base)
		}
		if doc, err = jsonpatch.MergePatch(l.document, r.Body); err != nil {
			l.tag = ""
			return fmt.Errorf("applying a delta: %w", err)
		}
	default:
		return fmt.Errorf("the list service answered %d", r.Status)
	}
	entries, err := parseEndpoints(doc)
	if err == nil && len(entries) == 0 {
		err = fmt.Errorf("no host is listed")
	}
	if err == nil {
		err = l.publish(entries)
	}
	if err != nil {
		l.tag = "" // ask for the whole next time
		return err
	}
	l.document, l.tag = doc, r.Header.Get("Etag")
	return nil
}

func parseEndpoints(doc []byte) ([]controller.Endpoint, error) {
	var b endpointDocument
	if err := json.Unmarshal(doc, &b); err != nil {
		return nil, fmt.Errorf("reading the list: %w", err)
	}
	if b.Hosts == nil {
		return nil, fmt.Errorf(`reading the list: "hosts" is missing`)
	}
	entries := make([]controller.Endpoint, 0, len(b.Hosts))
	for host, v := range b.Hosts {
		e := controller.Endpoint{Host: host, Zone: v.Zone, Weight: 1, StartedMs: v.Started}
		switch v.Phase {
		case "ready", "":
			e.State = routing.Ready
		case "draining":
			e.State = routing.Draining
		default:
			return nil, fmt.Errorf("hosts[%q].phase: %q is neither ready nor draining", host, v.Phase)
		}
		if v.Weight != nil {
			e.Weight = *v.Weight
		}
		entries = append(entries, e)
	}
	return entries, nil
}
