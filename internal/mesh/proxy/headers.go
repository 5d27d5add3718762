package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the headers that the mesh reads or sets, as http.Header has them.
var (
	attemptID         = textproto.CanonicalMIMEHeaderKey("X-Attempt-Id")
	timeLeft          = textproto.CanonicalMIMEHeaderKey("X-Time-Left-Ms")
	addressee         = textproto.CanonicalMIMEHeaderKey("X-Addressee")
	returnTo          = textproto.CanonicalMIMEHeaderKey("X-Return-Address")
	senderName        = textproto.CanonicalMIMEHeaderKey("X-Sender")
	keyName           = textproto.CanonicalMIMEHeaderKey("X-Key")
	postmark          = textproto.CanonicalMIMEHeaderKey("X-Postmark")
	notDelivered      = textproto.CanonicalMIMEHeaderKey("X-Not-Delivered")
	meshHeader        = textproto.CanonicalMIMEHeaderKey("X-Hive")           // between two balancers: who says it, and what it means
	meshAimHeader     = textproto.CanonicalMIMEHeaderKey("X-Hive-Aim")       // milliseconds within which an answer is of full worth
	meshLongHeader    = textproto.CanonicalMIMEHeaderKey("X-Hive-Long")      // the answer is a long one
	meshGatewayHeader = textproto.CanonicalMIMEHeaderKey("X-Hive-Gate")      // a partner to which the balancer that is asked sends it on
	importEdition     = textproto.CanonicalMIMEHeaderKey("X-Import-Edition") // of the table under which it was sent to a partner
	meshBroke         = "broke"                                              // the push may have run
	meshTurned        = "turned"                                             // it has not run and never will
	ofOneHop          = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}
	setByTheHub       = []string{addressee, returnTo, senderName, keyName, timeLeft, meshHeader, meshAimHeader, meshLongHeader, meshGatewayHeader, importEdition}
)

// onward copies the headers that concern more than one connection.
func onward(h http.Header) http.Header {
	out := make(http.Header, len(h)+4)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range ofOneHop {
		delete(out, name)
	}
	return out
}
