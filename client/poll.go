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

// mostBytes bounds an answer.
const mostBytes = 64 << 20

// pollAll polls one steward after the other. After a failure it goes to the next, after a wait that doubles
// with each round of failures, with some chance in it so that proxies that lost a steward at once do not
// come back at once.
func (c *Client) pollAll(ctx context.Context) {
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
			c.o.Log(fmt.Sprintf("steward %s lost, going on by the last tables: %v", c.o.Stewards[c.steward], err))
		}
		c.joined = false
		c.steward = (c.steward + 1) % len(c.o.Stewards)
		wait := c.o.Least << min(failures/len(c.o.Stewards), 20)
		wait = time.Duration(float64(min(wait, c.o.Most)) * (0.5 + c.chance()))
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
	base, steward, tag := c.base(), c.o.Stewards[c.steward], ""
	if c.held.steward == steward {
		tag = c.held.tag
	}
	offer, err := c.offer(steward)
	c.mu.Unlock()
	if err != nil {
		return err
	}
	target := base + "/tables?zone=" + url.QueryEscape(c.o.Zone)
	if c.o.Rate > 0 {
		target += "&rate=" + strconv.FormatFloat(c.o.Rate, 'g', -1, 64)
	}
	limit, cancel := context.WithTimeout(ctx, c.o.Wait+10*time.Second)
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
	q.Header.Set("Prefer", "wait="+strconv.Itoa(int(c.o.Wait.Seconds())))
	q.Header.Set("A-IM", "merge-patch")
	if tag != "" {
		q.Header.Set("If-None-Match", tag)
	}
	r, err := c.o.HTTP.Do(q)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, mostBytes))
	if err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	check := c.check(r.Header.Get("ETag"), r.Header.Get(tablesig.Field))
	switch r.StatusCode {
	case http.StatusOK:
		err = c.held.whole(steward, r.Header.Get("ETag"), body, check)
	case http.StatusIMUsed:
		if im := r.Header.Get("IM"); !strings.EqualFold(im, "merge-patch") {
			err = fmt.Errorf("the manipulation %q is not known", im)
		} else {
			if offer != nil {
				c.held.steward = steward // it goes on from what was offered, or the base does not fit
			}
			err = c.held.delta(steward, r.Header.Get("Delta-Base"), r.Header.Get("ETag"), body, check)
		}
	case http.StatusNotModified:
		if offer != nil {
			c.held.steward = steward
		}
	default:
		return fmt.Errorf("the steward answered %s: %.200s", r.Status, body)
	}
	if err != nil {
		c.held.tag = "" // ask for the whole
		return err
	}
	c.newest = strings.Trim(c.held.tag, `"`)
	if c.o.Applied != nil && c.held.tag != tag {
		c.o.Applied(strings.Trim(c.held.tag, `"`))
	}
	if !c.joined {
		c.joined = true
		c.o.Log("joined steward " + steward)
	}
	return nil
}

// check refuses tables that are not signed by one's own steward, or older than what was taken before.
func (c *Client) check(tag, field string) func(doc []byte) error {
	return func(doc []byte) error {
		if c.o.Signed == nil {
			return nil
		}
		tag := strings.Trim(tag, `"`)
		if newer, same := tablesig.Newer(tag, c.newest); same && !newer && tag != c.newest {
			return fmt.Errorf("the table %s is older than %s", tag, c.newest)
		}
		return tablesig.Check(field, c.o.Proxy, tag, doc, c.o.Now(), c.o.Signed)
	}
}

// offer is what is held, for a steward that did not give it; nil where there is nothing to offer. The caller holds the lock.
func (c *Client) offer(steward string) ([]byte, error) {
	if !c.o.Offer || c.held.doc == nil || c.held.tag == "" || c.held.steward == steward {
		return nil, nil
	}
	var doc map[string]json.RawMessage
	if err := json.Unmarshal(c.held.doc, &doc); err != nil {
		return nil, fmt.Errorf("offering what is held: %w", err)
	}
	tag, _ := json.Marshal(strings.Trim(c.held.tag, `"`))
	doc["tag"] = tag
	return json.Marshal(doc)
}
