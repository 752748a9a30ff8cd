package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"barleysail/internal/tablesig"
)

// maxResponseBytes bounds an answer.
const maxResponseBytes = 64 << 20

// pollControllers polls one steward after the other. After a failure it goes to the next, after a wait that doubles
// with each round of failures, with some chance in it so that proxies that lost a steward at once do not
// come back at once.
func (c *Client) pollControllers(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		err := c.poll(ctx)
		if err == nil {
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		c.mu.Lock()
		if c.joined || failures == 0 {
			c.options.Log(fmt.Sprintf("steward %s lost, going on by the last tables: %v", c.options.Stewards[c.current], err))
		}
		c.joined = false
		c.current = (c.current + 1) % len(c.options.Stewards)
		wait := c.options.Least << min(failures/len(c.options.Stewards), 20)
		wait = time.Duration(float64(min(wait, c.options.Most)) * (0.5 + c.random()))
		c.mu.Unlock()
		failures++
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// poll asks the steward once, and takes in what it answers.
func (c *Client) poll(ctx context.Context) error {
	c.mu.Lock()
	base, steward, tag := c.proxyURL(), c.options.Stewards[c.current], ""
	if c.tables.source == steward {
		tag = c.tables.tag
	}
	offer, err := c.tableOffer(steward)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	target := base + "/tables?zone=" + url.QueryEscape(c.options.Zone)
	if c.options.Rate > 0 {
		target += "&rate=" + strconv.FormatFloat(c.options.Rate, 'g', -1, 64)
	}
	limit, cancel := context.WithTimeout(ctx, c.options.Wait+10*time.Second)
	defer cancel()
	method, sent := http.MethodGet, io.Reader(nil)
	if offer != nil {
		method, sent = http.MethodPost, bytes.NewReader(offer)
	}
	q, err := http.NewRequestWithContext(limit, method, target, sent)
	if err != nil {
		return err
	}
	if offer != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	q.Header.Set("Prefer", "wait="+strconv.Itoa(int(c.options.Wait.Seconds())))
	q.Header.Set("A-IM", "merge-patch")
	if tag != "" {
		q.Header.Set("If-None-Match", tag)
	}
	r, err := c.options.HTTP.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.signatureCheck(r.Header.Get("ETag"), r.Header.Get(tablesig.Field))
	switch r.StatusCode {
	case http.StatusOK:
		err = c.tables.setSnapshot(steward, r.Header.Get("ETag"), body, check)
	case http.StatusIMUsed:
		if im := r.Header.Get("IM"); !strings.EqualFold(im, "merge-patch") {
			err = fmt.Errorf("the manipulation %q is not known", im)
		} else {
			if offer != nil {
				c.tables.source = steward // it goes on from what was offered, or the base does not fit
			}
			err = c.tables.applyDelta(steward, r.Header.Get("Delta-Base"), r.Header.Get("ETag"), body, check)
		}
	case http.StatusNotModified:
		if offer != nil {
			c.tables.source = steward
		}
	default:
		return fmt.Errorf("the steward answered %s: %.200s", r.Status, body)
	}
	if err != nil {
		c.tables.tag = "" // ask for the whole
		return err
	}
	c.newestTag = strings.Trim(c.tables.tag, `"`)
	if c.options.Applied != nil && c.tables.tag != tag {
		c.options.Applied(strings.Trim(c.tables.tag, `"`))
	}
	if !c.joined {
		c.joined = true
		c.options.Log("joined steward " + steward)
	}
	return nil
}

// signatureCheck refuses tables that are not signed by one's own steward, or older than what was taken before.
func (c *Client) signatureCheck(tag, field string) func(doc []byte) error {
	return func(doc []byte) error {
		if c.options.Signed == nil {
			return nil
		}
		tag := strings.Trim(tag, `"`)
		if newer, same := tablesig.Newer(tag, c.newestTag); same && !newer && tag != c.newestTag {
			return fmt.Errorf("the table %s is older than %s", tag, c.newestTag)
		}
		return tablesig.Check(field, c.options.Proxy, tag, doc, c.options.Now(), c.options.Signed)
	}
}

// tableOffer is what is held, for a steward that did not give it; nil where there is nothing to offer. The caller holds the lock.
func (c *Client) tableOffer(steward string) ([]byte, error) {
	if !c.options.Offer || c.tables.document == nil || c.tables.tag == "" || c.tables.source == steward {
		return nil, nil
	}
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(c.tables.document, &doc); err != nil {
		return nil, fmt.Errorf("offering what is held: %w", err)
	}
	tag, _ := json.Marshal(strings.Trim(c.tables.tag, `"`))
	doc["tag"] = tag
	return json.Marshal(doc)
}
