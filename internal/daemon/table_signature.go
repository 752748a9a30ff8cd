package daemon

import (
	"time"

	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/internal/tablesig"
)

// signatureValidity is how long a signature may be used to accept the tables as new. Tables that were accepted stay
// in use for longer.
const signatureValidity = 5 * time.Minute

// signTables adds the signature of the tables that a proxy has after it applied the response. It is made by the
// daemon's credentials; without them, and where the response changes nothing, the reply stays as it is.
func (a *api) signTables(response controller.Response, reply http1.Reply) http1.Reply {
	if a.credentials == nil || response.Kind == controller.NotModified {
		return reply
	}
	signer, err := a.credentials.Signer()
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
	reply.Header.Set(tablesig.Field, signature)
	return reply
}
