package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"barleysail/internal/tablesig"
)

// mostBytes bounds an answer.
const mostBytes = 64 << 20

// Run polls and sends sums until the context ends, and then leaves the steward.
func (c *Client) Run(ctx context.Context) error {
	if len(c.o.Stewards) == 0 {
		return errors.New("running a client: it has no steward")
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); c.pollAll(ctx) }()
	go func() { defer both.Done(); c.sendSums(ctx) }()
	both.Wait()
	c.leave()
	if c.own {
		c.o.HTTP.CloseIdleConnections()
	}
	return ctx.Err()
}

func (c *Client) base() string {
	return strings.TrimRight(c.o.Stewards[c.steward], "/") + "/v1/proxies/" + url.PathEscape(c.o.Proxy)
}

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

// sendSums sends what was met, each period. A report that got no answer is sent again, under its number, before
// the next one; what was met meanwhile adds up.
func (c *Client) sendSums(ctx context.Context) {
	tick := time.NewTicker(c.o.Period)
	defer tick.Stop()
	number, body, again := int64(0), []byte(nil), 0
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		if !c.joined {
			c.sums.begin(c.o.Now()) // nobody to tell: old figures would mislead the next steward
			body = nil
			c.mu.Unlock()
			continue
		}
		target := c.base() + "/sums"
		if body == nil {
			number++
			hosts, usage := c.sums.take(c.o.Now(), c.knows)
			body, _ = json.Marshal(report{c.sender, number, float64(c.o.Now().UnixMicro()) / 1000, hosts, usage})
			again = 0
		}
		c.mu.Unlock()
		if done := c.post(ctx, target, body); done || again >= 3 {
			body = nil
		} else {
			again++
		}
	}
}

// knows tells whether the steward named a host to us; it refuses sums of others. The caller holds the lock.
func (c *Client) knows(host string) bool {
	for _, t := range c.held.tables {
		for _, h := range t.Hosts {
			if h.Address == host {
				return true
			}
		}
	}
	return false
}

// post tells whether the steward answered, be it with a refusal; one that says it is too much now asks for it again.
func (c *Client) post(ctx context.Context, target string, body []byte) bool {
	limit, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(limit, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return true
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.o.HTTP.Do(q)
	if err != nil {
		return false
	}
	answer, _ := io.ReadAll(io.LimitReader(r.Body, 4096))
	r.Body.Close()
	if r.StatusCode == http.StatusTooManyRequests {
		return false
	}
	if r.StatusCode >= 400 && r.StatusCode < 500 {
		c.o.Log(fmt.Sprintf("the steward refused sums: %s: %s", r.Status, bytes.TrimSpace(answer)))
	}
	return r.StatusCode < 500
}

// leave tells the steward that the proxy ends.
func (c *Client) leave() {
	c.mu.Lock()
	target, joined := c.base(), c.joined
	c.mu.Unlock()
	if !joined {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodDelete, target, nil)
	if err != nil {
		return
	}
	if r, err := c.o.HTTP.Do(q); err == nil {
		r.Body.Close()
	}
}
