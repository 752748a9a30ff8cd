package rehearse

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/config/configpb"
	"barleysail/internal/daemon"
	"barleysail/internal/fake/issuer"
	"barleysail/internal/identity"
)

// identities holds the SPIFFE identities of a scenario, which are short-lived and renewed throughout. It also counts
// the attempts of unauthorized clients, and holds a controller whose certificate is signed by an untrusted authority.
type identities struct {
	authority   *issuer.Authority
	validity    time.Duration
	folder      string
	mu          sync.Mutex
	workloads   []workload
	sources     []*identity.Source
	rogue       *daemon.Daemon         // its authority has the same trust domain, but is not in the bundle
	attempts    atomic.Int64           // requests sent by unauthorized clients
	successes   atomic.Int64           // requests of theirs that were accepted
	lastSuccess atomic.Pointer[string] // method and path of the last accepted one
}

// workload is a workload with an identity, and the authority that signs it.
type workload struct {
	endpoint  *issuer.Endpoint
	id        string
	authority *issuer.Authority
}

const (
	trustDomain      = "spiffe://race.example"
	defaultValidityS = 20.0 // of certificates, in s

	unauthorizedRequestInterval = 100 * time.Millisecond
)

// addWorkload serves an identity to a new workload, and renews it from then on.
func (ids *identities) addWorkload(name, id string, authority *issuer.Authority) (*issuer.Endpoint, error) {
	endpoint, err := issuer.NewEndpoint(ids.folder, name)
	if err != nil {
		return nil, err
	}
	added := workload{endpoint, trustDomain + id, authority}
	ids.mu.Lock()
	ids.workloads = append(ids.workloads, added)
	ids.mu.Unlock()
	return endpoint, ids.renew(added)
}

// renew issues a new certificate to a workload.
func (ids *identities) renew(w workload) error {
	svid, err := w.authority.Sign(w.id, ids.validity, nil)
	if err != nil {
		return err
	}
	w.endpoint.SetIdentity(svid, []*issuer.Authority{w.authority})
	return nil
}

// renewPeriodically renews all identities at the same time, each time a third of their validity has passed.
func (ids *identities) renewPeriodically(ctx context.Context) {
	for sleep(ctx, ids.validity/3) {
		ids.mu.Lock()
		workloads := slices.Clone(ids.workloads)
		ids.mu.Unlock()
		for _, w := range workloads {
			ids.renew(w)
		}
	}
}

// openSource fetches a workload's identity and follows its renewals.
func (ids *identities) openSource(endpoint *issuer.Endpoint) (*identity.Source, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	source, err := identity.Open(ctx, endpoint.Address)
	if err == nil {
		ids.mu.Lock()
		ids.sources = append(ids.sources, source)
		ids.mu.Unlock()
	}
	return source, err
}

// verifyController accepts the identities of controllers.
func verifyController(id spiffeid.ID) error {
	if !strings.HasPrefix(id.String(), trustDomain+"/steward/") {
		return fmt.Errorf("%s is not the identity of a controller", id)
	}
	return nil
}

// addClientWorkload adds a workload that calls controllers, with a certificate of the scenario's authority. It returns
// the workload's identity and the TLS settings for these calls.
func (ids *identities) addClientWorkload(name, id string) (*identity.Source, *tls.Config, error) {
	endpoint, err := ids.addWorkload(name, id, ids.authority)
	if err != nil {
		return nil, nil, err
	}
	source, err := ids.openSource(endpoint)
	if err != nil {
		return nil, nil, err
	}
	return source, source.ClientTLS(verifyController), nil
}

// setUpIdentities creates the certificate authority and the operator's identity if the script wants identities.
func (s *scenario) setUpIdentities() error {
	if !s.script.Identities {
		return nil
	}
	validityS := s.script.IdentityLifeS
	if validityS == 0 {
		validityS = defaultValidityS
	}
	authority, err := issuer.NewAuthority("race.example")
	if err != nil {
		return err
	}
	identities := &identities{authority: authority, validity: secondsToDuration(validityS), folder: s.tempDir}
	s.identities = identities
	_, operatorTLS, err := identities.addClientWorkload("op", "/operator/day")
	if err != nil {
		return err
	}
	s.ingest.client.Transport = &http.Transport{TLSClientConfig: operatorTLS}
	return nil
}

// setControllerIdentity sets a controller's identity and the authorization rules.
func (s *scenario) setControllerIdentity(controllerConfig *configpb.Config, index int) error {
	identities := s.identities
	if identities == nil {
		return nil
	}
	s.mu.Lock()
	name := fmt.Sprintf("s%d-%d", index, s.incarnations)
	s.mu.Unlock()
	endpoint, err := identities.addWorkload(name, fmt.Sprintf("/steward/%d", index), identities.authority)
	if err != nil {
		return err
	}
	controllerConfig.Identity = identitySettings(endpoint.Address)
	controllerConfig.Standby.Id = trustDomain + "/steward/0"
	return nil
}

// identitySettings returns identity settings with the authorization rules that all controllers have.
func identitySettings(workloadAPI string) *configpb.Identity {
	return &configpb.Identity{WorkloadApi: workloadAPI, Handshakes: proto.Int32(32), Allow: []*configpb.Allow{
		{Id: trustDomain + "/forwarder/{zone}/{proxy}", Actions: []string{"poll", "sums"}},
		{Id: trustDomain + "/host/{host}", Actions: []string{"report"}},
		{Id: trustDomain + "/operator/*", Actions: []string{"see", "set"}},
		{Id: trustDomain + "/steward/*", Actions: []string{"follow"}}}}
}

// scheme returns the scheme of the controllers' URLs.
func (s *scenario) scheme() string {
	if s.identities != nil {
		return "https://"
	}
	return "http://"
}

// startUnauthorizedClients starts two clients that send requests in the name of the first proxy: one with that proxy's
// SPIFFE ID, but signed by an untrusted authority, and one with a valid identity of another proxy.
func (s *scenario) startUnauthorizedClients(ctx context.Context) error {
	identities := s.identities
	if identities == nil {
		return nil
	}
	untrusted, err := issuer.NewAuthority("race.example")
	if err != nil {
		return err
	}
	target := s.proxies[0]
	for _, attacker := range []struct {
		name, id  string
		authority *issuer.Authority
	}{
		{"rogue", fmt.Sprintf("/forwarder/%s/%s", target.Zone(), target.Name()), untrusted},
		{"other", "/forwarder/nowhere/other", identities.authority},
	} {
		endpoint, err := identities.addWorkload(attacker.name, attacker.id, attacker.authority)
		if err != nil {
			return err
		}
		source, err := identities.openSource(endpoint)
		if err != nil {
			return err
		}
		client := &http.Client{
			Timeout: 2 * time.Second,
			Transport: &http.Transport{
				DisableKeepAlives: true,
				TLSClientConfig: &tls.Config{
					MinVersion:         tls.VersionTLS13,
					InsecureSkipVerify: true, // an attacker accepts any controller
					GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
						certificate, _ := source.TLSCertificate()
						return certificate, nil
					},
				},
			},
		}
		go s.sendUnauthorizedRequests(ctx, client, target.Name(), target.Zone())
	}
	return nil
}

// sendUnauthorizedRequests sends requests for which the client has no permission until the scenario ends, and counts
// those that are accepted.
func (s *scenario) sendUnauthorizedRequests(ctx context.Context, client *http.Client, proxy, zone string) {
	identities := s.identities
	host := s.hosts[0].Address
	for n := 0; sleep(ctx, unauthorizedRequestInterval); n++ {
		requests := []struct{ method, path, body string }{
			{"GET", "/v1/proxies/" + proxy + "/tables?zone=" + zone, ""},
			{"POST", "/v1/proxies/" + proxy + "/sums?zone=" + zone,
				fmt.Sprintf(`{"sender":"impostor","number":%d}`, n+1)},
			{"DELETE", "/v1/proxies/" + proxy, ""},
			{"POST", "/v1/hosts/" + host + "/operator", `{"state":"drain"}`},
			{"POST", "/v1/hosts/" + host + "/load", `{"number":1,"load":{"util":0}}`},
			{"GET", "/v1/state", ""}, {"GET", "/v1/hosts", ""}}
		attempt := requests[n%len(requests)]
		request, err := http.NewRequestWithContext(ctx, attempt.method,
			"https://"+s.controllerAddresses[0]+attempt.path, strings.NewReader(attempt.body))
		if err != nil {
			return
		}
		request.Header.Set("Content-Type", "application/json")
		identities.attempts.Add(1)
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode < 400 {
			identities.successes.Add(1)
			success := attempt.method + " " + attempt.path
			identities.lastSuccess.Store(&success)
		}
	}
}

// startRogueController starts a controller whose certificate is signed by an untrusted authority with the name of the
// trust domain, and returns its address.
func (s *scenario) startRogueController() (string, error) {
	identities := s.identities
	untrusted, err := issuer.NewAuthority("race.example")
	if err != nil {
		return "", err
	}
	endpoint, err := identities.addWorkload("false", "/steward/0", untrusted)
	if err != nil {
		return "", err
	}
	rogueConfig := proto.CloneOf(s.config)
	rogueConfig.Identity = identitySettings(endpoint.Address)
	rogueConfig.Record, rogueConfig.Sockets = "", nil
	if identities.rogue, err = daemon.Start(rogueConfig, s.version, s.log); err != nil {
		return "", fmt.Errorf("starting the rogue controller: %w", err)
	}
	return identities.rogue.Addr(), nil
}

// print prints how many unauthorized connections and requests were accepted.
func (ids *identities) print(out io.Writer) {
	connected := ids.rogue.Operators().Status().ConnectedProxies
	fmt.Fprintf(out, "security: %d proxies joined the rogue controller; %d unauthorized requests, %d accepted\n",
		connected, ids.attempts.Load(), ids.successes.Load())
	if success := ids.lastSuccess.Load(); success != nil {
		fmt.Fprintln(out, "  the last accepted:", *success)
	}
}

// allRejected reports whether no proxy joined the rogue controller and no unauthorized request was accepted.
func (ids *identities) allRejected() bool {
	return ids.successes.Load() == 0 && ids.rogue.Operators().Status().ConnectedProxies == 0
}

// close stops the rogue controller and the issuer.
func (ids *identities) close() {
	if ids.rogue != nil {
		ids.rogue.Kill()
	}
	for _, source := range ids.sources {
		source.Close()
	}
	for _, w := range ids.workloads {
		w.endpoint.Close()
	}
}
