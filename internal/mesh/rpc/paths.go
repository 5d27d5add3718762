package rpc

// Paths of the calls between the mesh's own processes. The previous release uses the same paths, so they may change
// only with a protocol version that both releases understand.
const (
	PathConsensus     = "/hive/swarm"         // consensus requests between controllers
	PathGossip        = "/hive/mingle"        // gossip about registered proxies and peers between controllers
	PathWatch         = "/hive/ask"           // a proxy's watch of its controller
	PathConfiguration = "/mesh/configuration" // chunks of the configuration for a proxy
	PathDepartures    = "/mesh/departures"    // records and returns departed upstream instances of a proxy's machine
	PathTokens        = "/hive/draw"          // quota tokens for a proxy
	PathPartnerOrder  = "/hive/partner"       // an operator's order on a partner mesh
	PathCreditReport  = "/hive/nectar"        // a proxy's report on its burst credit
	PathCreditOrder   = "/hive/credit"        // an operator's order on a tenant's burst credit
	PathStatus        = "/hive/status"        // status for operators
	PathMetrics       = "/hive/figures"       // metrics in the Prometheus text format
)
