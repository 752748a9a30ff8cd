package instance

import (
	"errors"
	"testing"

	"barleysail/internal/simwire"
	"barleysail/routing"
)

const testSettings = `{"Discovery":"subscribe","FailureDomains":["a","b"],"Index":0,"Instances":2,"FamilyInfo":{
	"Admission":"share","BareUs":5000000,"ChannelRate":1000,"MostWaiting":700,"IntervalUs":1500000,"PerMessage":5,
	"DataPlaneSize":4,"LateUs":20000,"UpdateWindowUs":60000000,"MessagesMost":9,"OrderPrice":0.5,"Ejects":3,
	"RetryDefault":2,"StaysLocal":[true]},"Limits":{"MayProbe":true},"Prices":{"Probe":0.25},"Rules":{"ColdFrom":0.2,
	"ColdUs":9000000,"StopSendingWithinUs":2000000,"FallMultiple":3,"FallUs":2000000},
	"ScoreParts":{"Whole":0.5,"WorstClass":0.3,"WorstWindow":0.2},"Services":[
	{"Name":"read","AimUs":500000,"HardLimitUs":900000,"Value":1,"Effect":"idempotent"},
	{"Name":"sign","AimUs":250000,"HardLimitUs":800000,"Value":4,"Effect":"at_most_once"}]}`

func readTestSettings(t *testing.T) *simwire.Settings {
	t.Helper()
	settings, err := simwire.ReadSettings([]byte(testSettings))
	if err != nil {
		t.Fatal(err)
	}
	return settings
}

// Every setting arrives in its field of the balancer's configuration, durations in milliseconds.
func TestConfigurationOfBalancer(t *testing.T) {
	settings := readTestSettings(t)
	const seed = 31
	wantDeployment := routing.Deployment{Controllers: 2, Zones: 2, Proxies: 4, Seed: seed, ReportIntervalMs: 1500,
		ProxyEjectAfter: 3, DefaultRetryPolicy: 2, AdmissionControl: true, HealthChecks: true, WatchesEndpoints: true}
	if got := deployment(settings, seed); got != wantDeployment {
		t.Errorf("deployment %+v, want %+v", got, wantDeployment)
	}
	wantClasses := []routing.RequestClass{
		{LatencyObjectiveMs: 500, DeadlineMs: 900, PriorityWeight: 1, ZoneLocal: true},
		{LatencyObjectiveMs: 250, DeadlineMs: 800, PriorityWeight: 4},
	}
	gotClasses := requestClasses(settings)
	if len(gotClasses) != len(wantClasses) {
		t.Fatalf("request classes %+v, want %+v", gotClasses, wantClasses)
	}
	for index, want := range wantClasses {
		if gotClasses[index] != want {
			t.Errorf("request class %+v, want %+v", gotClasses[index], want)
		}
	}
	wantChannel := routing.ControlChannel{EntriesPerSecond: 1000, MessageOverhead: 5, MaxBacklog: 700,
		PropagationDelayMs: 20, MaxMessages: 9, MessageWindowMs: 60000, Cost: 0.5}
	if got := controlChannel(settings); got != wantChannel {
		t.Errorf("control channel %+v, want %+v", got, wantChannel)
	}
	wantLimits := routing.SafetyLimits{EmptyTableMs: 5000, DrainGraceMs: 2000, SlowStartInitialFactor: 0.2,
		SlowStartMs: 9000, CollapseMultiple: 3}
	if got := safetyLimits(settings); got != wantLimits {
		t.Errorf("safety limits %+v, want %+v", got, wantLimits)
	}
	wantObjective := routing.Objective{TotalWeight: 0.7, WorstClassWeight: 0.3, HealthCheckCost: 0.25}
	if got := objective(settings); got != wantObjective {
		t.Errorf("objective %+v, want %+v", got, wantObjective)
	}
}

// Zones and request classes have the indices of the settings; a released host's index goes to the next new host.
func TestIndices(t *testing.T) {
	instance, err := New(readTestSettings(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	if zone, ok := instance.ZoneIndex("b"); zone != 1 || !ok {
		t.Errorf("index of zone b: %d, %v; want 1, true", zone, ok)
	}
	if _, ok := instance.ZoneIndex("c"); ok {
		t.Error("zone c, which is not in the settings, has an index; want none")
	}
	if class, ok := instance.ClassIndex("sign"); class != 1 || !ok {
		t.Errorf("index of class sign: %d, %v; want 1, true", class, ok)
	}
	if _, ok := instance.ClassIndex("write"); ok {
		t.Error("class write, which is not in the settings, has an index; want none")
	}
	first, second := instance.HostIndex("s-1"), instance.HostIndex("s-2")
	if first == second || instance.HostIndex("s-1") != first || instance.HostName(second) != "s-2" {
		t.Errorf("hosts s-1 and s-2 got indices %d and %d, then %d for s-1, and index %d has name %q; "+
			"want two indices that stay", first, second, instance.HostIndex("s-1"), second, instance.HostName(second))
	}
	if !instance.ReleaseHost(first) {
		t.Fatal("ReleaseHost returned false for a host that no table refers to, want true")
	}
	if _, ok := instance.LookupHost("s-1"); ok {
		t.Error("released host s-1 still has an index, want none")
	}
	if reused := instance.HostIndex("s-3"); reused != first || instance.HostIndexCount() != 2 {
		t.Errorf("next host has index %d of %d, want %d of 2", reused, instance.HostIndexCount(), first)
	}
}

// A setting that is valid but not implemented is an error that names the field.
func TestUnsupportedSetting(t *testing.T) {
	settings := readTestSettings(t)
	settings.FamilyInfo.Shards = 3
	_, err := New(settings, 1)
	var unsupported *UnsupportedSettingError
	if !errors.As(err, &unsupported) || unsupported.Field != "FamilyInfo.Shards" || unsupported.Value != 3 {
		t.Fatalf("error %v, want *UnsupportedSettingError for FamilyInfo.Shards with value 3", err)
	}
	if want := "Start: setting FamilyInfo.Shards is 3: slices are not served yet"; err.Error() != want {
		t.Errorf("error %q, want %q", err, want)
	}
}
