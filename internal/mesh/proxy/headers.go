package proxy

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Names of the headers that the mesh reads or sets, in canonical form, and the values of meshHeader.
var (
	requestIDHeader        = textproto.CanonicalMIMEHeaderKey("X-Attempt-Id")
	timeLeftHeader         = textproto.CanonicalMIMEHeaderKey("X-Time-Left-Ms")
	upstreamIDHeader       = textproto.CanonicalMIMEHeaderKey("X-Addressee")
	callerServiceHeader    = textproto.CanonicalMIMEHeaderKey("X-Return-Address")
	tenantHeader           = textproto.CanonicalMIMEHeaderKey("X-Sender")
	apiKeyHeader           = textproto.CanonicalMIMEHeaderKey("X-Key")
	upstreamStampHeader    = textproto.CanonicalMIMEHeaderKey("X-Postmark")
	notExecutedHeader      = textproto.CanonicalMIMEHeaderKey("X-Not-Delivered")
	meshHeader             = textproto.CanonicalMIMEHeaderKey("X-Hive")           // between two proxies: one of the values below
	meshPriorityHeader     = textproto.CanonicalMIMEHeaderKey("X-Hive-Aim")       // latency target in milliseconds, and rank
	meshLongResponseHeader = textproto.CanonicalMIMEHeaderKey("X-Hive-Long")      // the response is a long one
	meshPartnerHeader      = textproto.CanonicalMIMEHeaderKey("X-Hive-Gate")      // the partner to forward the request to
	importEditionHeader    = textproto.CanonicalMIMEHeaderKey("X-Import-Edition") // version of the partner's import table
	meshMayHaveRun         = "broke"                                              // the request may have run
	meshNotExecuted        = "turned"                                             // the request has not run and never will
	hopByHopHeaders        = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length"}
	meshOwnedHeaders = []string{upstreamIDHeader, callerServiceHeader, tenantHeader, apiKeyHeader, timeLeftHeader, meshHeader,
		meshPriorityHeader, meshLongResponseHeader, meshPartnerHeader, importEditionHeader} // removed from clients' requests
)

// endToEndHeaders copies the headers without the hop-by-hop ones.
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
