package routing

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"ottershift/internal/mesh/settings"
)

// Span is a time as configurations write it.
type Span time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (s *Span) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return fmt.Errorf("%s is no time: text with a number and ms or s", raw)
	}
	d, err := settings.ParseDuration(text)
	*s = Span(d)
	return err
}

// Class is what may be done with a request.
type Class string

// The classes; another one is treated as once only.
const (
	Repeatable Class = "repeatable"
	OnceOnly   Class = "once_only"
	Streamed   Class = "outbound_freight"
)

// Repeats reports whether a request may run more than once.
func (c Class) Repeats() bool { return c == Repeatable || c == Streamed }

// WeightedService is a service with its share of a route.
type WeightedService struct {
	Service string `json:"Destination"`
	Share   float64
}

// Route says what is done with the requests at a place.
type Route struct {
	Name       string
	MailClass  Class
	Target     Span
	Precedence int
	Unstamped  bool
	Sorting    struct{ StreetPrefix string }
	Dispatch   struct {
		Destination   string
		Apportion     []WeightedService
		Deadline      Span
		DeliveryTries int
	}

	Host  string            `json:"-"`
	Parts []WeightedService `json:"-"` // where it goes, always at least one
	item
	checked bool // settled in a configuration: nothing writes to it any more
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
	Name        string
	ApiKeys     []string
	Precedence  int
	RatePerS    float64
	Surge       float64
	BurstCredit *BurstCredit `json:"Nectar"` // burst credit, nil for none

	item
}

// BurstCredit is a tenant's burst credit.
type BurstCredit struct {
	Earn  float64 // part of what it leaves of its rate that is saved
	Cap   float64 // requests saved at most
	Keep  Span    // for which they are
	Extra float64 // requests a second beyond its rate, at most
}

// check names what is wrong with it.
func (n *BurstCredit) check() error {
	if n == nil {
		return nil
	}
	return validation.ValidateStruct(n,
		validation.Field(&n.Earn, validation.Required, validation.Min(0.0), validation.Max(1.0)),
		validation.Field(&n.Cap, validation.Required, validation.Min(1.0)),
		validation.Field(&n.Keep, validation.Required, validation.Min(Span(time.Second))),
		validation.Field(&n.Extra, validation.Required, validation.Min(1.0)))
}

// Service is what upstreams offer.
type Service struct {
	Name                 string
	HealthPath           string
	LineCap              int
	Protocol             string
	Sealed               bool
	BurstCreditPerSecond float64 `json:"NectarPerS"` // the most that all tenants' burst credit adds here, a second; 0 for no bound

	item
}

// Partner is another mesh whose exports we use.
type Partner struct {
	Name       string
	Gateway    string // address of its gateway: it gives its table, and takes requests
	Target     Span   // within which an answer is of full worth
	Deadline   Span
	Tries      int
	ReadsStale bool // reads go on when it has been silent beyond its lease
}

// Limits bound what a client may send.
type Limits struct {
	EnvelopeBytes, ContentsBytes int64
	Envelope, Idle               Span
}
