package main

// settings are the figures of a deployment, in the units of the settings that the program is given.
type settings struct {
	Zones                           []string
	Classes                         []class
	Instances, Proxies              int
	BareUs, ColdUs, GraceUs, FallUs float64
	ColdFrom, FallMultiple          float64
	ChannelRate, MostWaiting, Head  float64
	LateUs, IntervalUs              float64
	MessagesMost, Ejects, UsualHow  int
	MessagesOverUs                  float64
	Admission                       string
	MayProbe                        bool
	HearsPerS                       float64
	Fields                          []string
	Cores                           float64
	MemoryMB, Sockets               int
}

// class is a class of requests.
type class struct {
	Name         string
	AimUs, MaxUs float64
	Value        float64
	Effect       string
	KeyScope     string
	StaysLocal   bool
}

type object = map[string]any

// document returns the settings as the program is given them.
func (s *settings) document(index int, zone string) object {
	var services []object
	var stays, writes []bool
	for _, c := range s.Classes {
		services = append(services, object{"Name": c.Name, "AimUs": c.AimUs, "HardLimitUs": c.MaxUs, "Value": c.Value,
			"Effect": c.Effect, "KeyScope": c.KeyScope, "LateWorth": 0.2, "WindowUs": 4e6})
		stays = append(stays, c.StaysLocal)
		writes = append(writes, c.Effect != "idempotent")
	}
	return object{
		"Discovery": "automatic", "FailureDomains": s.Zones, "Family": "control", "Index": index,
		"Instances": s.Instances, "Kinds": []string{"std-3core"}, "StepUs": 5000, "Weights": "none", "WorthBy": "request",
		"Zone": zone, "Services": services,
		"FamilyInfo": object{"Admission": s.Admission, "BareUs": s.BareUs, "ChannelRate": s.ChannelRate,
			"ClassWrites": writes, "DataPlaneSize": s.Proxies, "Ejects": s.Ejects, "Exclusive": false, "FirstWait": 1,
			"HearsPerS": s.HearsPerS, "InFlightMaxUs": 20000, "InitialSet": 12, "IntervalUs": s.IntervalUs,
			"LateUs": s.LateUs, "LocalFirst": false, "MessagesMost": s.MessagesMost, "MinConnCap": 93,
			"MostWaiting": s.MostWaiting, "MovePrice": 0.0, "OrderPrice": 0.04, "PerMessage": s.Head, "Pick": "weighted",
			"PushDelayMaxUs": 2.5 * s.LateUs, "RetryDefault": s.UsualHow, "Shards": 0, "StaysLocal": stays,
			"TenureUs": 2500000, "UpdateWindowUs": s.MessagesOverUs, "WaitsForTableUs": 300000, "WarmKeys": false},
		"Limits": object{"ConnIdleUs": 15000000, "CpuUsPerS": 600000, "DialTimeoutUs": 400000, "MayProbe": s.MayProbe,
			"Peers": false, "StreamsPerConn": 100},
		"Prices": object{"Connection": 0.02, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.04, "LateFail": 0.03,
			"Moves": 0.0, "Peer": 0.0, "Probe": 0.02, "Waste": 0.05},
		"Rules": object{"AskWithinUs": 10000000, "ColdFrom": s.ColdFrom, "ColdUs": s.ColdUs,
			"FallMultiple": s.FallMultiple, "FallUs": s.FallUs, "StopSendingWithinUs": s.GraceUs},
		"ScoreParts": object{"Whole": 0.5, "WorstClass": 0.3, "WorstTenant": 0.0, "WorstWindow": 0.2},
		"Stats":      object{"Fields": s.Fields, "How": "answers"},
	}
}

// signing returns settings in the ranges of kingston-signing.
func signing() *settings {
	return &settings{
		Zones: []string{"north", "east", "west"},
		Classes: []class{
			{Name: "status", AimUs: 1.5e6, MaxUs: 5e6, Value: 2, Effect: "idempotent", KeyScope: "all"},
			{Name: "submit", AimUs: 1.5e6, MaxUs: 4e6, Value: 3, Effect: "deduplicated", KeyScope: "zone"},
			{Name: "sign", AimUs: 3e6, MaxUs: 1e7, Value: 3, Effect: "at_most_once", KeyScope: "all"},
		},
		Instances: 1, Proxies: 240,
		BareUs: 5.3e6, ColdUs: 15e6, GraceUs: 2e6, FallUs: 1.5e6, ColdFrom: 0.18, FallMultiple: 4,
		ChannelRate: 2000, MostWaiting: 20000, Head: 4, LateUs: 200e3, IntervalUs: 2e6,
		Ejects: 5, UsualHow: 0, MessagesOverUs: 10e6, Admission: "share", MayProbe: true, HearsPerS: 750,
		Fields: []string{"util", "qps"}, Cores: 1, MemoryMB: 192, Sockets: 1024,
	}
}

// results returns settings in the ranges of results-addis; the figures of the rules are those of the wire page's example.
func results() *settings {
	return &settings{
		Zones: []string{"hill", "lake"},
		Classes: []class{
			{Name: "sheet", AimUs: 1e6, MaxUs: 2.5e6, Value: 3, Effect: "idempotent", KeyScope: "all"},
			{Name: "finish", AimUs: 0.5e6, MaxUs: 1.2e6, Value: 9, Effect: "idempotent", KeyScope: "all"},
		},
		Instances: 1, Proxies: 24,
		BareUs: 5.3e6, ColdUs: 18e6, GraceUs: 3e6, FallUs: 3e6, ColdFrom: 0.15, FallMultiple: 4,
		ChannelRate: 7100, MostWaiting: 7100, Head: 6, LateUs: 270e3, IntervalUs: 1e6,
		MessagesMost: 20, Ejects: 3, UsualHow: 1, MessagesOverUs: 10e6, Admission: "none", MayProbe: true, HearsPerS: 200,
		Fields: []string{"queue", "latency_ms"}, Cores: 1, MemoryMB: 192, Sockets: 1024,
	}
}
