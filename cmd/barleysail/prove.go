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

// issuerWait is how long a command waits for its identity.
const issuerWait = 5 * time.Second

// proving gives a transport on which the operator proves who he is, by the Workload API that BARLEYSAIL_WORKLOAD_API names,
// to the steward that BARLEYSAIL_STEWARD_ID names, and to nobody else.
func proving() *http.Transport {
	var once sync.Once
	var c *tls.Config
	var failed error
	open := func() {
		address, want := os.Getenv("BARLEYSAIL_WORKLOAD_API"), os.Getenv("BARLEYSAIL_STEWARD_ID")
		if address == "" || want == "" {
			failed = errors.New("for https, BARLEYSAIL_WORKLOAD_API has to name the issuer's socket and BARLEYSAIL_STEWARD_ID the steward's SPIFFE ID")
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), issuerWait)
		defer cancel()
		s, err := identity.Open(ctx, address)
		if err != nil {
			failed = err
			return
		}
		c = s.Client(func(id spiffeid.ID) error {
			if id.String() != want {
				return fmt.Errorf("it is %s, not %s", id, want)
			}
			return nil
		})
	}
	return &http.Transport{DialTLSContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		if once.Do(open); failed != nil {
			return nil, failed
		}
		return (&tls.Dialer{Config: c}).DialContext(ctx, network, address)
	}}
}
