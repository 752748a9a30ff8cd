package main

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/internal/identity"
)

const (
	workloadAPIEnv  = "BARLEYSAIL_WORKLOAD_API" // address of the SPIFFE Workload API's socket
	controllerIDEnv = "BARLEYSAIL_STEWARD_ID"   // required SPIFFE ID of the controller

	identityTimeout = 5 * time.Second // limit of the wait for the first identity from the Workload API
)

var errIdentityEnvironment = errors.New("https requires " + workloadAPIEnv +
	", the address of the Workload API's socket, and " + controllerIDEnv + ", the controller's SPIFFE ID")

// identityDialer dials a controller over mutual TLS: it authenticates the operator, and verifies that the controller
// has the SPIFFE ID that the environment names. The identity is fetched at the first connection and cached until the
// program ends.
type identityDialer struct {
	once      sync.Once
	tlsConfig *tls.Config
	err       error // why there is no identity
}

// newIdentityTransport returns an HTTP transport whose connections are made by an identityDialer.
func newIdentityTransport() *http.Transport {
	dialer := &identityDialer{}
	return &http.Transport{DialTLSContext: dialer.dial}
}

func (d *identityDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.once.Do(func() { d.tlsConfig, d.err = fetchIdentity() })
	if d.err != nil {
		return nil, d.err
	}
	return (&tls.Dialer{Config: d.tlsConfig}).DialContext(ctx, network, address)
}

// fetchIdentity fetches the operator's identity from the Workload API. It uses its own context, because the identity
// outlives the request that needs it first.
func fetchIdentity() (*tls.Config, error) {
	workloadAPI := os.Getenv(workloadAPIEnv)
	controllerID := os.Getenv(controllerIDEnv)
	if workloadAPI == "" || controllerID == "" {
		return nil, errIdentityEnvironment
	}
	ctx, cancel := context.WithTimeout(context.Background(), identityTimeout)
	defer cancel()
	source, err := identity.Open(ctx, workloadAPI)
	if err != nil {
		return nil, err
	}
	return source.ClientTLS(func(id spiffeid.ID) error {
		if id.String() != controllerID {
			return fmt.Errorf("the controller's SPIFFE ID is %s, not %s", id, controllerID)
		}
		return nil
	}), nil
}
