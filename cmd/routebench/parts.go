package main

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/routebench"
)

// part is a comparison: every scenario under every policy.
type part struct {
	scenarios []routebench.Scenario
	policies  []routebench.Policy
}

// patientTurn is the product's bound on the starvation of patient requests.
const patientTurn = 4

func policy(name string, c routebench.Choice, s routebench.Shedding) routebench.Policy {
	return routebench.NewPolicy(name, c, s, patientTurn)
}

func parts() []part {
	today, fixed := routebench.Today{}, routebench.Fixed{}
	choices := []routebench.Policy{
		policy("today", today, fixed), policy("least of all", routebench.NewDraws(0, 1), fixed),
		policy("uniform", routebench.NewDraws(1, 1), fixed), policy("own x3", routebench.NewDraws(2, 3), fixed),
		policy("four choices", routebench.NewDraws(4, 1), fixed),
	}
	others := []routebench.Policy{
		policy("no set-aside", today, fixed).WithoutHealth(), policy("budgeted retries", today, fixed).WithBudgetedRetries(),
		policy("as before", today, fixed).WithoutHealth().WithBudgetedRetries(),
		policy("delay 100ms/500ms", today, routebench.NewByDelay(100*time.Millisecond, 500*time.Millisecond)),
		policy("delay 500ms/1s", today, routebench.NewByDelay(500*time.Millisecond, time.Second)),
		policy("newest first", today, routebench.NewNewestFirst(500*time.Millisecond)),
	}
	turns := []routebench.Policy{}
	for _, n := range []int{0, 2, 4, 8, 16} {
		turns = append(turns, routebench.NewPolicy(fmt.Sprintf("turn %d", n), today, fixed, n))
	}
	small := append(loads(3, 11), loads(24, 11)...)
	large := routebench.NewScenario("24x7200 95%", 24, 7200, 0.95, 0.3, time.Second)
	return []part{
		{small, append(choices, others...)},
		{[]routebench.Scenario{large, large.WithLag(time.Second)}, choices},
		{[]routebench.Scenario{
			routebench.NewScenario("3x11 130% urgent 30%", 3, 11, 1.3, 0.3, time.Minute),
			routebench.NewScenario("3x11 130% urgent 80%", 3, 11, 1.3, 0.8, time.Minute),
		}, turns},
	}
}

// loads returns the scenarios of one size.
func loads(hosts, endpoints int) (list []routebench.Scenario) {
	at := func(load float64, what string) routebench.Scenario {
		name := fmt.Sprintf("%dx%d %.0f%% %s", hosts, endpoints, load*100, what)
		return routebench.NewScenario(name, hosts, endpoints, load, 0.3, time.Minute)
	}
	for _, load := range []float64{0.5, 0.8, 0.95, 1.3} {
		for _, lag := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
			list = append(list, at(load, "lag "+lag.String()).WithLag(lag))
		}
	}
	for _, load := range []float64{0.5, 0.95, 1.3} {
		list = append(list, at(load, "slow").WithFault(routebench.Slow), at(load, "failing").WithFault(routebench.Failing))
	}
	return append(list, at(0.5, "burst").WithBurst())
}
