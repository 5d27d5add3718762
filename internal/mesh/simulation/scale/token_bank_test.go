package scale

import (
	"fmt"
	"testing"
	"time"

	"ottershift/internal/mesh/ratelimit"
)

// BenchmarkTokenBankGrant is one draw at the coordinator's token bank, of a balancer that wants tokens of three of 75 tenants,
// where a number of balancers draw in turn.
func BenchmarkTokenBankGrant(b *testing.B) {
	const tenants, wanted, drawEvery = 75, 3, 350 * time.Millisecond
	for _, balancers := range []int{30, 100, 300, 890, 1780} {
		b.Run(fmt.Sprint(balancers), func(b *testing.B) {
			limits := map[string]ratelimit.Limit{}
			for n := range tenants {
				limits[tenantName(n)] = ratelimit.Limit{Rate: 20, Burst: 20, Window: int64(5 * time.Second), OverRatio: 0.1, Slack: 20}
			}
			bank := ratelimit.NewTokenBank(0)
			bank.SetLimits(limits, balancers, 0)
			draw := func(n int) {
				wants := map[string]ratelimit.Demand{}
				for k := range wanted {
					wants[tenantName((n*7+k)%tenants)] = ratelimit.Demand{Held: 1, Wanted: 1}
				}
				now := int64(n) * int64(drawEvery) / int64(balancers)
				bank.Grant(&ratelimit.TokenRequest{Node: hollowName(n % balancers), Incarnation: "l", Seq: uint64(n + 1), Demands: wants}, now)
			}
			warm := 3 * balancers
			for n := range warm {
				draw(n)
			}
			b.ResetTimer()
			for n := range b.N {
				draw(warm + n)
			}
		})
	}
}
