package routing

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ottershift/internal/mesh/settings"
)

// Duration is a time.Duration that a configuration writes as a string with a number and the unit ms or s.
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("invalid duration %s: want a string with a number and the unit ms or s", raw)
	}
	parsed, err := settings.ParseDuration(text)
	*d = Duration(parsed)
	return err
}

// RequestClass defines whether a request may be repeated and how its response is transferred.
type RequestClass string

// Classes of requests. A request of any other class is treated as OnceOnly.
const (
	Repeatable RequestClass = "repeatable"
	OnceOnly   RequestClass = "once_only"
	Streamed   RequestClass = "outbound_freight" // repeatable, with a long response
)

// IsRepeatable reports whether a request may be executed more than once.
func (c RequestClass) IsRepeatable() bool { return c == Repeatable || c == Streamed }

// WeightedService is a service and its share of the requests of a route.
type WeightedService struct {
	Service string  `json:"Destination"`
	Weight  float64 `json:"Share"` // relative to the sum of the weights of the route
}

// Route defines how the requests for a host and a path prefix are handled.
type Route struct {
	Name            string
	Class           RequestClass `json:"MailClass"`
	TargetLatency   Duration     `json:"Target"`     // within which a response has its full value
	Priority        int          `json:"Precedence"` // 0 is the most urgent
	AllowsAnonymous bool         `json:"Unstamped"`  // requests need no API key
	Match           struct {
		PathPrefix string `json:"StreetPrefix"`
	} `json:"Sorting"`
	Forwarding struct {
		Service          string            `json:"Destination"`
		WeightedServices []WeightedService `json:"Apportion"`
		Deadline         Duration
		MaxAttempts      int `json:"DeliveryTries"`
	} `json:"Dispatch"`

	Host     string            `json:"-"`
	Services []WeightedService `json:"-"` // services that receive the requests, at least one
	item
	validated bool // the route has been validated and is read-only, since configurations may share it
}

// item is the raw form of a tenant, service or route, which preserves unknown fields.
type item struct {
	raw json.RawMessage // as received
	sum itemSum         // of raw
}

// itemSum is the first 16 bytes of the SHA-256 sum of the raw JSON of an item.
type itemSum [16]byte

func newItem(raw json.RawMessage) item {
	sum := sha256.Sum256(raw)
	return item{raw, itemSum(sum[:len(itemSum{})])}
}

// Tenant is a client of the mesh, identified by its API keys.
type Tenant struct {
	Name          string
	APIKeys       []string     `json:"ApiKeys"`
	Priority      int          `json:"Precedence"` // 0 is the most urgent
	RatePerSecond float64      `json:"RatePerS"`   // requests per second
	Burst         float64      `json:"Surge"`      // burst size in requests
	BurstCredit   *BurstCredit `json:"Nectar"`     // nil if the tenant has no burst credit

	item
}

// BurstCredit defines how a tenant saves unused requests of its rate for later bursts.
type BurstCredit struct {
	SavedFraction float64  `json:"Earn"`  // saved part of the unused rate, at most 1
	MaxSaved      float64  `json:"Cap"`   // maximum number of saved requests
	Retention     Duration `json:"Keep"`  // time for which requests stay saved
	MaxExtraRate  float64  `json:"Extra"` // maximum rate beyond the regular one, in requests per second
}

// check returns an error that lists the invalid fields, or nil.
func (b *BurstCredit) check() error {
	if b == nil {
		return nil
	}
	return validation.ValidateStruct(b,
		validation.Field(&b.SavedFraction, validation.Required, validation.Min(0.0), validation.Max(1.0)),
		validation.Field(&b.MaxSaved, validation.Required, validation.Min(1.0)),
		validation.Field(&b.Retention, validation.Required, validation.Min(Duration(time.Second))),
		validation.Field(&b.MaxExtraRate, validation.Required, validation.Min(1.0)))
}

// Service is a service that upstreams provide. The mesh decodes HealthPath, MaxConnections, Protocol and TLS but does
// not use them.
type Service struct {
	Name                    string
	HealthPath              string
	MaxConnections          int `json:"LineCap"`
	Protocol                string
	TLS                     bool    `json:"Sealed"`
	MaxBurstCreditPerSecond float64 `json:"NectarPerS"` // maximum rate that burst credit of all tenants adds to the service; 0 for no limit

	item
}

// Partner is another mesh whose exported services this mesh uses.
type Partner struct {
	Name            string
	Gateway         string   // address of the gateway that publishes its exports and receives requests
	TargetLatency   Duration `json:"Target"` // within which a response has its full value
	Deadline        Duration
	MaxAttempts     int  `json:"Tries"`
	AllowStaleReads bool `json:"ReadsStale"` // reads continue after its lease has expired
}

// Limits restrict what a client may send.
type Limits struct {
	MaxHeaderBytes int64    `json:"EnvelopeBytes"`
	MaxBodyBytes   int64    `json:"ContentsBytes"`
	HeaderTimeout  Duration `json:"Envelope"`
	IdleTimeout    Duration `json:"Idle"`
}
