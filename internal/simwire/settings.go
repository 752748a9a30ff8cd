package simwire

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Service is a class of transactions as the settings spell it.
type Service struct {
	AimUs, HardLimitUs, Value *float64
	Effect, KeyScope, Name    string
	WindowUs                  float64
}

// Settings is what Start carries. Pointers are promised by the wire; plain fields have a fallback.
type Settings struct {
	Discovery      string
	FailureDomains []string
	FamilyInfo     struct {
		Admission                                                string
		BareUs, ChannelRate, MostWaiting, IntervalUs, PerMessage *float64
		DataPlaneSize                                            *int
		LateUs, UpdateWindowUs, OrderPrice                       float64
		Ejects, MessagesMost, RetryDefault, Shards               int
		StaysLocal                                               []bool
	}
	Index, Instances *int
	Limits           struct {
		MayProbe      bool
		DialTimeoutUs float64
	}
	Prices struct{ Probe float64 }
	Rules  struct {
		ColdFrom, ColdUs, StopSendingWithinUs, FallMultiple, FallUs *float64
	}
	ScoreParts struct{ Whole, WorstClass, WorstWindow float64 }
	Services   []Service
	StepUs     float64
	Zone       string
}

// What a string setting may hold.
const (
	Subscribed   = "subscribe"
	AdmitNone    = "none"
	AdmitShare   = "share"
	Idempotent   = "idempotent"
	Deduplicated = "deduplicated"
	AtMostOnce   = "at_most_once"
	EveryHost    = "all"
)

const (
	unbounded   = math.MaxFloat64
	proxiesMost = 65535 // the wire's numbers of proxies and tables stay below 65536
)

// ReadSettings decodes and checks the settings; the error names the setting that is absent or out of its
// range.
func ReadSettings(raw []byte) (*Settings, error) {
	s := new(Settings)
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("Start: Settings: %v", err)
	}
	f, r := &s.FamilyInfo, &s.Rules
	for _, p := range []struct {
		name  string
		value *float64
		least float64
	}{
		{"FamilyInfo.BareUs", f.BareUs, 0}, {"FamilyInfo.ChannelRate", f.ChannelRate, 1e-9},
		{"FamilyInfo.MostWaiting", f.MostWaiting, 0}, {"FamilyInfo.IntervalUs", f.IntervalUs, 1},
		{"FamilyInfo.PerMessage", f.PerMessage, 0}, {"Rules.ColdFrom", r.ColdFrom, 0}, {"Rules.ColdUs", r.ColdUs, 0},
		{"Rules.StopSendingWithinUs", r.StopSendingWithinUs, 0}, {"Rules.FallMultiple", r.FallMultiple, 1e-9},
		{"Rules.FallUs", r.FallUs, 0},
	} {
		if p.value == nil {
			return nil, fmt.Errorf("Start: setting %s is missing", p.name)
		}
		if *p.value < p.least {
			return nil, fmt.Errorf("Start: setting %s is out of range: %g", p.name, *p.value)
		}
	}
	for _, p := range []struct {
		name        string
		value, most float64
	}{
		{"FamilyInfo.LateUs", f.LateUs, unbounded}, {"FamilyInfo.UpdateWindowUs", f.UpdateWindowUs, unbounded},
		{"FamilyInfo.OrderPrice", f.OrderPrice, unbounded}, {"FamilyInfo.Ejects", float64(f.Ejects), unbounded},
		{"FamilyInfo.MessagesMost", float64(f.MessagesMost), unbounded}, {"FamilyInfo.RetryDefault", float64(f.RetryDefault), 3},
		{"FamilyInfo.Shards", float64(f.Shards), unbounded}, {"Limits.DialTimeoutUs", s.Limits.DialTimeoutUs, unbounded},
		{"Prices.Probe", s.Prices.Probe, unbounded}, {"Rules.ColdFrom", *r.ColdFrom, 1}, {"ScoreParts.Whole", s.ScoreParts.Whole, unbounded},
		{"ScoreParts.WorstClass", s.ScoreParts.WorstClass, unbounded}, {"ScoreParts.WorstWindow", s.ScoreParts.WorstWindow, unbounded},
		{"StepUs", s.StepUs, unbounded},
	} {
		if p.value < 0 || p.value > p.most {
			return nil, fmt.Errorf("Start: setting %s is out of range: %g", p.name, p.value)
		}
	}
	if len(s.FailureDomains) == 0 { // a deployment that has no zones is all one
		s.FailureDomains = []string{s.Zone}
	}
	switch {
	case s.Index == nil || *s.Index < 0:
		return nil, fmt.Errorf("Start: setting Index is missing or below 0")
	case s.Instances == nil || *s.Instances < 1:
		return nil, fmt.Errorf("Start: setting Instances is missing or below 1")
	case f.DataPlaneSize == nil || *f.DataPlaneSize < 1 || *f.DataPlaneSize > proxiesMost:
		return nil, fmt.Errorf("Start: setting FamilyInfo.DataPlaneSize is missing or not from 1 to %d", proxiesMost)
	case len(s.Services) == 0 || len(s.Services) > 60:
		return nil, fmt.Errorf("Start: setting Services holds %d classes, from 1 to 60 can be served", len(s.Services))
	}
	for i, z := range s.FailureDomains {
		if slices.Contains(s.FailureDomains[:i], z) {
			return nil, fmt.Errorf("Start: setting FailureDomains names %q twice", z)
		}
	}
	names := map[string]bool{}
	for _, c := range s.Services {
		if names[c.Name] {
			return nil, fmt.Errorf("Start: setting Services names class %q twice", c.Name)
		}
		names[c.Name] = true
		if c.AimUs == nil || c.HardLimitUs == nil || c.Value == nil || *c.AimUs <= 0 || *c.HardLimitUs <= 0 || *c.Value < 0 {
			return nil, fmt.Errorf("Start: setting Services: class %q lacks a good AimUs, HardLimitUs or Value", c.Name)
		}
		if c.Effect != Idempotent && c.Effect != Deduplicated && c.Effect != AtMostOnce {
			return nil, fmt.Errorf("Start: setting Services: class %q has unknown Effect %q", c.Name, c.Effect)
		}
	}
	return s, nil
}
