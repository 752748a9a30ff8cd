package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"barleysail/internal/fake/issuer"
)

const trustDomain = "spiffe://race.example"

// identityIssuer issues identities of one trust domain, each on a Workload API socket of its own.
type identityIssuer struct {
	folder    string
	authority *issuer.Authority
}

// newIdentityIssuer returns an issuer whose sockets are in a folder of their own, which the end of the test removes.
func newIdentityIssuer(t *testing.T) *identityIssuer {
	t.Helper()
	folder, err := os.MkdirTemp("", "id") // not t.TempDir, whose path is too long for a socket
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(folder); err != nil {
			t.Error(err)
		}
	})
	authority, err := issuer.NewAuthority("race.example")
	if err != nil {
		t.Fatal(err)
	}
	return &identityIssuer{folder, authority}
}

// issue serves the identity of a path of the trust domain, and returns the address of its socket.
func (i *identityIssuer) issue(t *testing.T, socket, path string) string {
	t.Helper()
	endpoint, err := issuer.NewEndpoint(i.folder, socket)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	identity, err := i.authority.Sign(trustDomain+path, time.Hour, nil)
	if err != nil {
		t.Fatal(err)
	}
	endpoint.SetIdentity(identity, []*issuer.Authority{i.authority})
	return endpoint.Address
}

// Commands over https authenticate the operator, and connect only to a controller with the SPIFFE ID that the
// environment names. A denied request and a failed connection have different exit codes.
func TestOperatorIdentity(t *testing.T) {
	identities := newIdentityIssuer(t)
	list := writeTextFile(t, filepath.Join(identities.folder, "hosts.textproto"),
		`hosts { address: "10.0.0.1:80" zone: "a" }`)
	allow := `allow { id: "` + trustDomain + `/operator/*" actions: "see" actions: "set" }`
	controller := startController(t, parseConfig(t, `zones: ["a"] listen: "127.0.0.1:0" probes { on: false }
		classes { name: "sheet" due_ms: 1000 patience_ms: 2500 } list { file: "`+list+`" }
		identity { workload_api: "`+identities.issue(t, "s", "/steward/one")+`" `+allow+` }`))
	defer controller.Kill()
	operatorSocket := identities.issue(t, "a", "/operator/ann")
	hostSocket := identities.issue(t, "h", "/host/10.0.0.1_80")
	controllerID := trustDomain + "/steward/one"
	otherControllerID := trustDomain + "/steward/two"
	getHosts := []string{"get", "hosts"}
	setWeight := []string{"weight", "10.0.0.1:80", "2"}
	for _, c := range []struct {
		workloadAPI, controllerID string
		commandCase
	}{
		{operatorSocket, controllerID, commandCase{"operator reads", getHosts, 0, []string{"10.0.0.1:80"}}},
		{operatorSocket, controllerID, commandCase{"operator changes a weight", setWeight, 0, []string{"done"}}},
		{operatorSocket, otherControllerID, commandCase{"another controller is named", getHosts, exitUnreachable,
			[]string{"not " + otherControllerID}}},
		{hostSocket, controllerID, commandCase{"a host's identity", getHosts, 1, []string{"may not see here"}}},
		{"", "", commandCase{"no identity", getHosts, exitUnreachable, []string{"BARLEYSAIL_WORKLOAD_API"}}},
	} {
		t.Setenv("BARLEYSAIL_WORKLOAD_API", c.workloadAPI)
		t.Setenv("BARLEYSAIL_STEWARD_ID", c.controllerID)
		runCases(t, "https://"+controller.Addr(), []commandCase{c.commandCase})
	}
}
