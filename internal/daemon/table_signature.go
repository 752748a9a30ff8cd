package daemon

import (
	"time"

	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/internal/tablesig"
)

// signatureValidity is the time from the signing of tables in which proxies accept them. Proxies may use accepted
// tables for longer.
const signatureValidity = 5 * time.Minute

// signTables adds to a reply the signature, by the daemon's credentials, of the tables that the proxy has once it has
// applied the response. It returns the reply unchanged if the daemon has no credentials or the response changes
// nothing, and an error reply if the tables cannot be signed.
func (a *api) signTables(response controller.Response, reply http1.Reply) http1.Reply {
	if a.credentials == nil || response.Kind == controller.NotModified {
		return reply
	}
	signer, err := a.credentials.TableSigner()
	if err != nil {
		return errorReply(err)
	}
	tables, err := response.Canonical()
	if err != nil {
		return errorReply(err)
	}
	signature, err := signer.Sign(response.Proxy, response.Tag, tables, time.Now().Add(signatureValidity))
	if err != nil {
		return errorReply(err)
	}
	reply.Header.Set(tablesig.HeaderName, signature)
	return reply
}
