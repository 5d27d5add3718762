package rpc

// Paths of the calls between the mesh's own processes. Processes of the version before this one use the same paths, so they
// change only together with a protocol version that both understand.
const (
	PathConsensus     = "/hive/swarm"         // consensus requests between controllers
	PathGossip        = "/hive/mingle"        // registry and peers between controllers
	PathWatch         = "/hive/ask"           // a proxy's watch of its controller
	PathConfiguration = "/mesh/configuration" // pieces of the configuration for a proxy
	PathTokens        = "/hive/draw"          // quota tokens for a proxy
	PathPartnerOrder  = "/hive/partner"       // an operator's order about a partner
	PathCreditReport  = "/hive/nectar"        // a proxy's report on burst credit
	PathCreditOrder   = "/hive/credit"        // an operator's order about an account
	PathStatus        = "/hive/status"        // status for operators
	PathMetrics       = "/hive/figures"       // counters as text
)
