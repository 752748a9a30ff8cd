package simwire

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Service is a request class. Fields of a pointer type are required; the others have a default.
type Service struct {
	AimUs       *float64 // latency objective
	HardLimitUs *float64 // deadline
	Value       *float64 // priority weight
	Effect      string   // idempotency: Idempotent, Deduplicated or AtMostOnce
	KeyScope    string
	Name        string
	WindowUs    float64
}

// Settings are the settings in a start event: the deployment, its limits and its request classes. Fields of a pointer
// type are required; the others have a default, which is 0 unless stated. Names that end in Us are microseconds.
type Settings struct {
	Discovery      string   // Subscribed, or any other text for a list that is sent without a request
	FailureDomains []string // zones; if there are none, ReadSettings sets the instance's own
	FamilyInfo     struct {
		Admission      string   // AdmitNone or AdmitShare
		BareUs         *float64 // longest time for which a proxy's table may hold no host
		ChannelRate    *float64 // throughput of the control channel in table entries a second
		MostWaiting    *float64 // entries that may be queued in the control channel
		IntervalUs     *float64 // interval between reports of a proxy
		PerMessage     *float64 // fixed cost of a message, in entries
		DataPlaneSize  *int     // number of proxies
		LateUs         float64  // propagation delay of the channel
		UpdateWindowUs float64  // sliding window of MessagesMost
		OrderPrice     float64  // fraction of the objective lost while the channel runs at its maximum throughput
		Ejects         int      // failures in a row after which proxies eject a host themselves
		MessagesMost   int      // messages to one proxy within UpdateWindowUs; 0: no limit
		RetryDefault   int      // retry policy of proxies where their tables set none
		Shards         int
		StaysLocal     []bool // by class: requests stay in their zone
	}
	Index     *int // of this instance
	Instances *int
	Limits    struct {
		MayProbe      bool // health checks are allowed
		DialTimeoutUs float64
	}
	Prices struct {
		Probe float64 // cost of a health check
	}
	Rules struct {
		ColdFrom            *float64 // fraction of its capacity that a host has at its start
		ColdUs              *float64 // length of the slow start
		StopSendingWithinUs *float64 // drain grace
		FallMultiple        *float64 // load, as a multiple of its capacity, at which a host in slow start collapses
		FallUs              *float64 // time after which it collapses under that load
	}
	ScoreParts struct {
		Whole       float64 // weight of all requests
		WorstClass  float64 // weight of the worst-served class
		WorstWindow float64 // weight of the worst-served time window
	}
	Services []Service // request classes
	StepUs   float64   // time for which the platform gathers events before a round; 0: its default
	Zone     string    // of this instance
}

// Values of text settings.
const (
	Subscribed   = "subscribe" // Discovery: the endpoint list must be subscribed to
	AdmitNone    = "none"      // Admission: proxies admit all requests
	AdmitShare   = "share"     // Admission: proxies admit a share of each class
	Idempotent   = "idempotent"
	Deduplicated = "deduplicated" // idempotent by a key that hosts store
	AtMostOnce   = "at_most_once"
	EveryHost    = "all"
)

const (
	unbounded      = math.MaxFloat64
	minPositive    = 1e-9  // minimum of a setting that must be above 0
	maxProxies     = 65535 // the protocol numbers proxies and tables below 65536
	maxClasses     = 60    // a set of classes is a bit mask
	maxRetryPolicy = 3     // largest number of a retry policy
)

// ReadSettings decodes and validates the settings of a start event. It returns a *SettingError for the first setting
// that is missing or out of range, and an *EventError for settings that cannot be decoded.
func ReadSettings(raw []byte) (*Settings, error) {
	settings := new(Settings)
	if err := json.Unmarshal(raw, settings); err != nil {
		return nil, &EventError{Event: Start, Reason: fmt.Sprintf("Settings: %v", err), Err: err}
	}
	for _, check := range []func(*Settings) error{
		checkRequiredNumbers, checkOptionalNumbers, checkDeployment, checkZones, checkClasses,
	} {
		if err := check(settings); err != nil {
			return nil, err
		}
	}
	return settings, nil
}

// checkRequiredNumbers checks that required numbers are present and not below their minimum.
func checkRequiredNumbers(settings *Settings) error {
	family := &settings.FamilyInfo
	rules := &settings.Rules
	for _, required := range []struct {
		name    string
		value   *float64
		minimum float64
	}{
		{"FamilyInfo.BareUs", family.BareUs, 0},
		{"FamilyInfo.ChannelRate", family.ChannelRate, minPositive},
		{"FamilyInfo.MostWaiting", family.MostWaiting, 0},
		{"FamilyInfo.IntervalUs", family.IntervalUs, 1},
		{"FamilyInfo.PerMessage", family.PerMessage, 0},
		{"Rules.ColdFrom", rules.ColdFrom, 0},
		{"Rules.ColdUs", rules.ColdUs, 0},
		{"Rules.StopSendingWithinUs", rules.StopSendingWithinUs, 0},
		{"Rules.FallMultiple", rules.FallMultiple, minPositive},
		{"Rules.FallUs", rules.FallUs, 0},
	} {
		if required.value == nil {
			return &SettingError{required.name, " is missing"}
		}
		if *required.value < required.minimum {
			return outOfRange(required.name, *required.value)
		}
	}
	return nil
}

// checkOptionalNumbers checks that numbers with a default, and those with a maximum, are from 0 to their maximum.
func checkOptionalNumbers(settings *Settings) error {
	family := &settings.FamilyInfo
	parts := &settings.ScoreParts
	for _, optional := range []struct {
		name           string
		value, maximum float64
	}{
		{"FamilyInfo.LateUs", family.LateUs, unbounded},
		{"FamilyInfo.UpdateWindowUs", family.UpdateWindowUs, unbounded},
		{"FamilyInfo.OrderPrice", family.OrderPrice, unbounded},
		{"FamilyInfo.Ejects", float64(family.Ejects), unbounded},
		{"FamilyInfo.MessagesMost", float64(family.MessagesMost), unbounded},
		{"FamilyInfo.RetryDefault", float64(family.RetryDefault), maxRetryPolicy},
		{"FamilyInfo.Shards", float64(family.Shards), unbounded},
		{"Limits.DialTimeoutUs", settings.Limits.DialTimeoutUs, unbounded},
		{"Prices.Probe", settings.Prices.Probe, unbounded},
		{"Rules.ColdFrom", *settings.Rules.ColdFrom, 1},
		{"ScoreParts.Whole", parts.Whole, unbounded},
		{"ScoreParts.WorstClass", parts.WorstClass, unbounded},
		{"ScoreParts.WorstWindow", parts.WorstWindow, unbounded},
		{"StepUs", settings.StepUs, unbounded},
	} {
		if optional.value < 0 || optional.value > optional.maximum {
			return outOfRange(optional.name, optional.value)
		}
	}
	return nil
}

func outOfRange(setting string, value float64) *SettingError {
	return &SettingError{setting, fmt.Sprintf(" is out of range: %g", value)}
}

// checkDeployment checks the numbers of instances, proxies and request classes.
func checkDeployment(settings *Settings) error {
	proxies := settings.FamilyInfo.DataPlaneSize
	classes := len(settings.Services)
	switch {
	case settings.Index == nil || *settings.Index < 0:
		return &SettingError{"Index", " is missing or below 0"}
	case settings.Instances == nil || *settings.Instances < 1:
		return &SettingError{"Instances", " is missing or below 1"}
	case proxies == nil || *proxies < 1 || *proxies > maxProxies:
		return &SettingError{"FamilyInfo.DataPlaneSize", fmt.Sprintf(" is missing or not from 1 to %d", maxProxies)}
	case classes == 0 || classes > maxClasses:
		return &SettingError{"Services",
			fmt.Sprintf(" holds %d classes, from 1 to %d can be served", classes, maxClasses)}
	}
	return nil
}

// checkZones checks that the names of zones are unique. A deployment without zones gets the instance's own zone.
func checkZones(settings *Settings) error {
	if len(settings.FailureDomains) == 0 {
		settings.FailureDomains = []string{settings.Zone}
	}
	for i, zone := range settings.FailureDomains {
		if slices.Contains(settings.FailureDomains[:i], zone) {
			return &SettingError{"FailureDomains", fmt.Sprintf(" names %q twice", zone)}
		}
	}
	return nil
}

// checkClasses checks that request classes have unique names and valid values.
func checkClasses(settings *Settings) error {
	known := map[string]bool{}
	for i := range settings.Services {
		class := &settings.Services[i]
		if known[class.Name] {
			return &SettingError{"Services", fmt.Sprintf(" names class %q twice", class.Name)}
		}
		known[class.Name] = true
		if !class.hasValidNumbers() {
			return &SettingError{"Services",
				fmt.Sprintf(": class %q lacks a good AimUs, HardLimitUs or Value", class.Name)}
		}
		if !slices.Contains([]string{Idempotent, Deduplicated, AtMostOnce}, class.Effect) {
			return &SettingError{"Services", fmt.Sprintf(": class %q has unknown Effect %q", class.Name, class.Effect)}
		}
	}
	return nil
}

func (s *Service) hasValidNumbers() bool {
	if s.AimUs == nil || s.HardLimitUs == nil || s.Value == nil {
		return false
	}
	return *s.AimUs > 0 && *s.HardLimitUs > 0 && *s.Value >= 0
}
