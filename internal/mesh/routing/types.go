package routing

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ottershift/internal/mesh/settings"
)

// Duration is a time as configurations write it.
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (s *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("%s is no time: text with a number and ms or s", raw)
	}
	d, err := settings.Span(text)
	*s = Duration(d)
	return err
}

// RequestClass is what may be done with a request.
type RequestClass string

// The classes; another one is treated as once only.
const (
	Repeatable RequestClass = "repeatable"
	OnceOnly   RequestClass = "once_only"
	Streamed   RequestClass = "outbound_freight"
)

// IsRepeatable reports whether a request may run more than once.
func (c RequestClass) IsRepeatable() bool { return c == Repeatable || c == Streamed }

// WeightedService is a service with its share of a route.
type WeightedService struct {
	Service string  `json:"Destination"`
	Weight  float64 `json:"Share"`
}

// Route says what is done with the requests at a place.
type Route struct {
	Name            string
	Class           RequestClass `json:"MailClass"`
	TargetLatency   Duration     `json:"Target"`
	Priority        int          `json:"Precedence"`
	AllowsAnonymous bool         `json:"Unstamped"`
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
	Services []WeightedService `json:"-"` // where it goes, always at least one
	item
	validated bool // settled in a configuration: nothing writes to it any more
}

// item is what a configuration keeps of each of its tenants, services and routes beside what it reads of them.
type item struct {
	raw json.RawMessage // as sent
	sum itemSum         // of raw
}

type itemSum [16]byte

func newItem(raw json.RawMessage) item {
	whole := sha256.Sum256(raw)
	return item{raw, itemSum(whole[:len(itemSum{})])}
}

// Tenant is who may ask, by its keys.
type Tenant struct {
	Name          string
	APIKeys       []string     `json:"ApiKeys"`
	Priority      int          `json:"Precedence"`
	RatePerSecond float64      `json:"RatePerS"`
	Burst         float64      `json:"Surge"`
	BurstCredit   *BurstCredit `json:"Nectar"` // burst credit, nil for none

	item
}

// BurstCredit is a tenant's burst credit.
type BurstCredit struct {
	SavedFraction float64  `json:"Earn"`  // part of what it leaves of its rate that is saved
	MaxSaved      float64  `json:"Cap"`   // requests saved at most
	Retention     Duration `json:"Keep"`  // for which they are
	MaxExtraRate  float64  `json:"Extra"` // requests a second beyond its rate, at most
}

// check names what is wrong with it.
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

// Service is what upstreams offer.
type Service struct {
	Name                    string
	HealthPath              string
	MaxConnections          int `json:"LineCap"`
	Protocol                string
	TLS                     bool    `json:"Sealed"`
	MaxBurstCreditPerSecond float64 `json:"NectarPerS"` // the most that all tenants' burst credit adds here, a second; 0 for no bound

	item
}

// Partner is another mesh whose exports we use.
type Partner struct {
	Name            string
	Gateway         string   // address of its gateway: it gives its table, and takes requests
	TargetLatency   Duration `json:"Target"` // within which an answer is of full worth
	Deadline        Duration
	MaxAttempts     int  `json:"Tries"`
	AllowStaleReads bool `json:"ReadsStale"` // reads go on when it has been silent beyond its lease
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes int64    `json:"EnvelopeBytes"`
	MaxBodyBytes   int64    `json:"ContentsBytes"`
	HeaderTimeout  Duration `json:"Envelope"`
	IdleTimeout    Duration `json:"Idle"`
}
