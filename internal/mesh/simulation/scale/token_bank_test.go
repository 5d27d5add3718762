package scale

import (
	"fmt"
	"testing"
	"time"

	"ottershift/internal/mesh/ratelimit"
)

// BenchmarkTokenBankGrant measures one token request at the coordinator's token bank, by a proxy that needs tokens of three of
// 75 tenants, while a number of proxies request tokens in turn.
func BenchmarkTokenBankGrant(b *testing.B) {
	const tenants, wanted, requestInterval = 75, 3, 350 * time.Millisecond
	for _, proxies := range []int{30, 100, 300, 890, 1780} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) {
			limits := map[string]ratelimit.Limit{}
			for n := range tenants {
				limits[tenantName(n)] = ratelimit.Limit{Rate: 20, Burst: 20, Window: int64(5 * time.Second), OverRatio: 0.1, Slack: 20}
			}
			bank := ratelimit.NewTokenBank(0)
			bank.SetLimits(limits, proxies, 0)
			requestTokens := func(n int) {
				wants := map[string]ratelimit.Demand{}
				for k := range wanted {
					wants[tenantName((n*7+k)%tenants)] = ratelimit.Demand{Held: 1, Wanted: 1}
				}
				now := int64(n) * int64(requestInterval) / int64(proxies)
				bank.Grant(&ratelimit.TokenRequest{Node: hollowName(n % proxies), Incarnation: "l", Seq: uint64(n + 1), Demands: wants}, now)
			}
			warmUp := 3 * proxies
			for n := range warmUp {
				requestTokens(n)
			}
			b.ResetTimer()
			for n := range b.N {
				requestTokens(warmUp + n)
			}
		})
	}
}
