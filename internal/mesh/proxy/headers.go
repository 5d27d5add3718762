package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the headers that the mesh reads or sets, as http.Header has them.
var (
	requestIDHeader        = textproto.CanonicalMIMEHeaderKey("X-Attempt-Id")
	timeLeftHeader         = textproto.CanonicalMIMEHeaderKey("X-Time-Left-Ms")
	upstreamIDHeader       = textproto.CanonicalMIMEHeaderKey("X-Addressee")
	callerServiceHeader    = textproto.CanonicalMIMEHeaderKey("X-Return-Address")
	tenantHeader           = textproto.CanonicalMIMEHeaderKey("X-Sender")
	apiKeyHeader           = textproto.CanonicalMIMEHeaderKey("X-Key")
	upstreamStampHeader    = textproto.CanonicalMIMEHeaderKey("X-Postmark")
	notExecutedHeader      = textproto.CanonicalMIMEHeaderKey("X-Not-Delivered")
	meshHeader             = textproto.CanonicalMIMEHeaderKey("X-Hive")           // between two balancers: who says it, and what it means
	meshPriorityHeader     = textproto.CanonicalMIMEHeaderKey("X-Hive-Aim")       // milliseconds within which an answer is of full worth
	meshLongResponseHeader = textproto.CanonicalMIMEHeaderKey("X-Hive-Long")      // the answer is a long one
	meshPartnerHeader      = textproto.CanonicalMIMEHeaderKey("X-Hive-Gate")      // a partner to which the balancer that is asked sends it on
	importEditionHeader    = textproto.CanonicalMIMEHeaderKey("X-Import-Edition") // of the table under which it was sent to a partner
	meshMayHaveRun         = "broke"                                              // the push may have run
	meshNotExecuted        = "turned"                                             // it has not run and never will
	hopByHopHeaders        = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}
	meshOwnedHeaders       = []string{upstreamIDHeader, callerServiceHeader, tenantHeader, apiKeyHeader, timeLeftHeader, meshHeader, meshPriorityHeader, meshLongResponseHeader, meshPartnerHeader, importEditionHeader}
)

// endToEndHeaders copies the headers that concern more than one connection.
func endToEndHeaders(header http.Header) http.Header {
	out := make(http.Header, len(header)+4)
	for name, values := range header {
		out[name] = values
	}
	for _, list := range header["Connection"] {
		for _, name := range strings.Split(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(out, name)
	}
	return out
}
