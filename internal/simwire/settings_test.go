package simwire

import (
	"strings"
	"testing"
)

const goodSettings = `{"FailureDomains":["a","b"],"Index":0,"Instances":1,"Zone":"a","FamilyInfo":{"BareUs":1,` +
	`"ChannelRate":1,"MostWaiting":1,"IntervalUs":1,"PerMessage":1,"DataPlaneSize":1},"Rules":{"ColdFrom":0.2,` +
	`"ColdUs":1,"StopSendingWithinUs":1,"FallMultiple":3,"FallUs":1},"Services":[{"Name":"read","AimUs":1,` +
	`"HardLimitUs":1,"Value":1,"Effect":"idempotent"}]}`

// A setting that is missing or out of range is an error that names it. The texts are part of the simulator's interface.
func TestReadSettingsRejects(t *testing.T) {
	service := `{"Name":"read","AimUs":1,"HardLimitUs":1,"Value":1,"Effect":"idempotent"}`
	for _, c := range []struct{ name, part, replacement, want string }{
		{"no JSON", `{"FailureDomains"`, `"FailureDomains"`,
			"Start: Settings: invalid character ':' after top-level value"},
		{"missing", `"BareUs":1,`, ``, "Start: setting FamilyInfo.BareUs is missing"},
		{"below its minimum", `"ChannelRate":1`, `"ChannelRate":0`,
			"Start: setting FamilyInfo.ChannelRate is out of range: 0"},
		{"optional below 0", `"BareUs":1,`, `"BareUs":1,"LateUs":-1,`,
			"Start: setting FamilyInfo.LateUs is out of range: -1"},
		{"optional above its maximum", `"BareUs":1,`, `"BareUs":1,"RetryDefault":4,`,
			"Start: setting FamilyInfo.RetryDefault is out of range: 4"},
		{"fraction above 1", `"ColdFrom":0.2`, `"ColdFrom":2`, "Start: setting Rules.ColdFrom is out of range: 2"},
		{"index", `"Index":0`, `"Index":-1`, "Start: setting Index is missing or below 0"},
		{"instances", `"Instances":1`, `"Instances":0`, "Start: setting Instances is missing or below 1"},
		{"proxies", `"DataPlaneSize":1`, `"DataPlaneSize":65536`,
			"Start: setting FamilyInfo.DataPlaneSize is missing or not from 1 to 65535"},
		{"no classes", service, ``, "Start: setting Services holds 0 classes, from 1 to 60 can be served"},
		{"a zone twice", `["a","b"]`, `["a","a"]`, `Start: setting FailureDomains names "a" twice`},
		{"a class twice", service, service + "," + service, `Start: setting Services names class "read" twice`},
		{"class without an objective", `"AimUs":1,`, ``,
			`Start: setting Services: class "read" lacks a good AimUs, HardLimitUs or Value`},
		{"class of an unknown effect", `"idempotent"`, `"odd"`,
			`Start: setting Services: class "read" has unknown Effect "odd"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(goodSettings, c.part, c.replacement, 1)
			if text == goodSettings {
				t.Fatalf("the settings are unchanged, want %s replaced by %s", c.part, c.replacement)
			}
			_, err := ReadSettings([]byte(text))
			if err == nil || err.Error() != c.want {
				t.Errorf("error %q, want %q", err, c.want)
			}
		})
	}
}

func TestReadSettings(t *testing.T) {
	settings, err := ReadSettings([]byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	if len(settings.FailureDomains) != 2 || *settings.Instances != 1 || settings.Services[0].Name != "read" {
		t.Errorf("settings %+v, want 2 zones, 1 instance and request class read", settings)
	}
	settings, err = ReadSettings([]byte(strings.Replace(goodSettings, `["a","b"]`, `[]`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if len(settings.FailureDomains) != 1 || settings.FailureDomains[0] != "a" {
		t.Errorf("settings without zones: zones %v, want [a], the instance's own", settings.FailureDomains)
	}
}
