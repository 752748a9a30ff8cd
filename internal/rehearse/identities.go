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

// identities of a day: an issuer with short lives that are renewed all day, and an impostor who tries what he can.
type identities struct {
	root    *issuer.Authority
	life    time.Duration
	folder  string
	mu      sync.Mutex
	given   []given
	sources []*identity.Source
	rogue   *daemon.Daemon // a steward by another root of the same name
	tries   atomic.Int64   // of the impostors
	done    atomic.Int64   // that achieved something
	what    atomic.Pointer[string]
}

type given struct {
	endpoint *issuer.Endpoint
	id       string
	root     *issuer.Authority
}

const (
	trustDomain = "spiffe://race.example"
	usualLife   = 20.0 // s
)

// issue makes a workload with an identity.
func (x *identities) issue(name, id string, root *issuer.Authority) (*issuer.Endpoint, error) {
	e, err := issuer.NewEndpoint(x.folder, name)
	if err != nil {
		return nil, err
	}
	g := given{e, trustDomain + id, root}
	x.mu.Lock()
	x.given = append(x.given, g)
	x.mu.Unlock()
	return e, x.renew(g)
}

func (x *identities) renew(g given) error {
	v, err := g.root.Sign(g.id, x.life, nil)
	if err != nil {
		return err
	}
	g.endpoint.Give(v, []*issuer.Authority{g.root})
	return nil
}

// renewing renews all at a third of their life, all at once.
func (x *identities) renewing(ctx context.Context) {
	for wait(ctx, x.life/3) {
		x.mu.Lock()
		all := slices.Clone(x.given)
		x.mu.Unlock()
		for _, g := range all {
			x.renew(g)
		}
	}
}

// open takes up a workload's identity.
func (x *identities) open(e *issuer.Endpoint) (*identity.Source, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	s, err := identity.Open(ctx, e.Address)
	if err == nil {
		x.mu.Lock()
		x.sources = append(x.sources, s)
		x.mu.Unlock()
	}
	return s, err
}

// steward tells whether an identity is one of the day's stewards.
func aSteward(id spiffeid.ID) error {
	if !strings.HasPrefix(id.String(), trustDomain+"/steward/") {
		return fmt.Errorf("%s is no steward of ours", id)
	}
	return nil
}

// proving makes what a workload needs to call stewards.
func (x *identities) proving(name, id string) (*identity.Source, *tls.Config, error) {
	e, err := x.issue(name, id, x.root)
	if err != nil {
		return nil, nil, err
	}
	s, err := x.open(e)
	if err != nil {
		return nil, nil, err
	}
	return s, s.ClientTLS(aSteward), nil
}

// identify begins the day's identities.
func (d *day) identify() error {
	if !d.script.Identities {
		return nil
	}
	life := d.script.IdentityLifeS
	if life == 0 {
		life = usualLife
	}
	root, err := issuer.NewAuthority("race.example")
	if err != nil {
		return err
	}
	x := &identities{root: root, life: seconds(life), folder: d.dir}
	d.identities = x
	_, operator, err := x.proving("op", "/operator/day")
	if err != nil {
		return err
	}
	d.taken.client.Transport = &http.Transport{TLSClientConfig: operator}
	return nil
}

// identified sets a steward's identity and the day's rules.
func (d *day) identified(c *configpb.Config, i int) error {
	x := d.identities
	if x == nil {
		return nil
	}
	d.mu.Lock()
	name := fmt.Sprintf("s%d-%d", i, d.lives)
	d.mu.Unlock()
	e, err := x.issue(name, fmt.Sprintf("/steward/%d", i), x.root)
	if err != nil {
		return err
	}
	c.Identity = allowed(e.Address)
	c.Standby.Id = trustDomain + "/steward/0"
	return nil
}

func allowed(api string) *configpb.Identity {
	return &configpb.Identity{WorkloadApi: api, Handshakes: proto.Int32(32), Allow: []*configpb.Allow{
		{Id: trustDomain + "/forwarder/{zone}/{proxy}", Actions: []string{"poll", "sums"}},
		{Id: trustDomain + "/host/{host}", Actions: []string{"report"}},
		{Id: trustDomain + "/operator/*", Actions: []string{"see", "set"}},
		{Id: trustDomain + "/steward/*", Actions: []string{"follow"}}}}
}

// scheme of the stewards' URLs.
func (d *day) scheme() string {
	if d.identities != nil {
		return "https://"
	}
	return "http://"
}

// impostors begin: a steward by another root, which all forwarders have in their lists, and programs that poll, post, set and
// follow as others.
func (d *day) impostors(ctx context.Context) error {
	x := d.identities
	if x == nil {
		return nil
	}
	other, err := issuer.NewAuthority("race.example")
	if err != nil {
		return err
	}
	victim := d.forwarders[0]
	for _, i := range []struct {
		name, id string
		root     *issuer.Authority
	}{{"rogue", fmt.Sprintf("/forwarder/%s/%s", victim.Zone(), victim.Name()), other}, {"other", "/forwarder/nowhere/other", x.root}} {
		e, err := x.issue(i.name, i.id, i.root)
		if err != nil {
			return err
		}
		v, err := x.open(e)
		if err != nil {
			return err
		}
		c := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13,
			InsecureSkipVerify: true, // an impostor does not mind whom he calls
			GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
				s, _ := v.TLSCertificate()
				return s, nil
			}}}}
		go d.impostor(ctx, c, victim.Name(), victim.Zone())
	}
	return nil
}

// impostor tries one thing after the other, all day.
func (d *day) impostor(ctx context.Context, c *http.Client, victim, zone string) {
	x := d.identities
	host := d.hosts[0].Address
	for n := 0; wait(ctx, 100*time.Millisecond); n++ {
		tries := []struct{ method, path, body string }{
			{"GET", "/v1/proxies/" + victim + "/tables?zone=" + zone, ""},
			{"POST", "/v1/proxies/" + victim + "/sums?zone=" + zone, fmt.Sprintf(`{"sender":"impostor","number":%d}`, n+1)},
			{"DELETE", "/v1/proxies/" + victim, ""},
			{"POST", "/v1/hosts/" + host + "/operator", `{"state":"drain"}`},
			{"POST", "/v1/hosts/" + host + "/load", `{"number":1,"load":{"util":0}}`},
			{"GET", "/v1/state", ""}, {"GET", "/v1/hosts", ""}}
		try := tries[n%len(tries)]
		q, err := http.NewRequestWithContext(ctx, try.method, "https://"+d.addresses[0]+try.path, strings.NewReader(try.body))
		if err != nil {
			return
		}
		q.Header.Set("Content-Type", "application/json")
		x.tries.Add(1)
		r, err := c.Do(q)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, r.Body)
		r.Body.Close()
		if r.StatusCode < 400 {
			x.done.Add(1)
			what := try.method + " " + try.path
			x.what.Store(&what)
		}
	}
}

// rogueSteward runs a steward by another root of the same name, and gives its address.
func (d *day) rogueSteward() (string, error) {
	x := d.identities
	other, err := issuer.NewAuthority("race.example")
	if err != nil {
		return "", err
	}
	e, err := x.issue("false", "/steward/0", other)
	if err != nil {
		return "", err
	}
	c := proto.CloneOf(d.config)
	c.Identity = allowed(e.Address)
	c.Record, c.Sockets = "", nil
	if x.rogue, err = daemon.Start(c, d.version, d.log); err != nil {
		return "", fmt.Errorf("starting the impostor: %w", err)
	}
	return x.rogue.Addr(), nil
}

// print says what the impostors achieved.
func (x *identities) print(out io.Writer) {
	joined := x.rogue.Operators().Status().ConnectedProxies
	fmt.Fprintf(out, "impostors: %d proxies joined the false steward; %d tries by false forwarders, %d achieved something\n", joined, x.tries.Load(), x.done.Load())
	if what := x.what.Load(); what != nil {
		fmt.Fprintln(out, "  the last:", *what)
	}
}

// kept tells whether the impostors achieved nothing.
func (x *identities) kept() bool {
	return x.done.Load() == 0 && x.rogue.Operators().Status().ConnectedProxies == 0
}

func (x *identities) end() {
	if x.rogue != nil {
		x.rogue.Kill()
	}
	for _, s := range x.sources {
		s.Close()
	}
	for _, g := range x.given {
		g.endpoint.Close()
	}
}
