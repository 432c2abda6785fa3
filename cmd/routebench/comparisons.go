package main

import (
	"fmt"
	"time"

	"rosemarywind.example/rosemarywind/internal/routebench"
)

// comparison is a set of scenarios, each of which runs under each of the policies.
type comparison struct {
	scenarios []routebench.Scenario
	policies  []routebench.Policy
}

// patientInterval is the default of package admission: every fourth grant goes to a patient request, so that urgent
// requests cannot starve it.
const patientInterval = 4

func newPolicy(name string, c routebench.Choice, s routebench.Shedding) routebench.Policy {
	return routebench.NewPolicy(name, c, s, patientInterval)
}

func comparisons() []comparison {
	current, fixed := routebench.CurrentChoice{}, routebench.FixedLimits{}
	choices := []routebench.Policy{
		newPolicy("today", current, fixed), newPolicy("least of all", routebench.NewLeastLoaded(0, 1), fixed),
		newPolicy("uniform", routebench.NewLeastLoaded(1, 1), fixed), newPolicy("own x3", routebench.NewLeastLoaded(2, 3), fixed),
		newPolicy("four choices", routebench.NewLeastLoaded(4, 1), fixed),
	}
	variants := []routebench.Policy{
		newPolicy("no set-aside", current, fixed).WithoutQuarantine(), newPolicy("budgeted retries", current, fixed).WithBudgetForAllRetries(),
		newPolicy("as before", current, fixed).WithoutQuarantine().WithBudgetForAllRetries(),
		newPolicy("delay 100ms/500ms", current, routebench.NewByDelay(100*time.Millisecond, 500*time.Millisecond)),
		newPolicy("delay 500ms/1s", current, routebench.NewByDelay(500*time.Millisecond, time.Second)),
		newPolicy("newest first", current, routebench.NewNewestFirst(500*time.Millisecond)),
	}
	intervals := []routebench.Policy{}
	for _, n := range []int{0, 2, 4, 8, 16} {
		intervals = append(intervals, routebench.NewPolicy(fmt.Sprintf("turn %d", n), current, fixed, n))
	}
	small := append(loadScenarios(3, 11), loadScenarios(24, 11)...)
	large := routebench.NewScenario("24x7200 95%", 24, 7200, 0.95, 0.3, time.Second)
	return []comparison{
		{small, append(choices, variants...)},
		{[]routebench.Scenario{large, large.WithLag(time.Second)}, choices},
		{[]routebench.Scenario{
			routebench.NewScenario("3x11 130% urgent 30%", 3, 11, 1.3, 0.3, time.Minute),
			routebench.NewScenario("3x11 130% urgent 80%", 3, 11, 1.3, 0.8, time.Minute),
		}, intervals},
	}
}

// loadScenarios returns the scenarios of one number of entry hosts and endpoints: different loads, report lags and
// faults of the first endpoint, and a burst.
func loadScenarios(hosts, endpoints int) (list []routebench.Scenario) {
	scenario := func(load float64, variant string) routebench.Scenario {
		name := fmt.Sprintf("%dx%d %.0f%% %s", hosts, endpoints, load*100, variant)
		return routebench.NewScenario(name, hosts, endpoints, load, 0.3, time.Minute)
	}
	for _, load := range []float64{0.5, 0.8, 0.95, 1.3} {
		for _, lag := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
			list = append(list, scenario(load, "lag "+lag.String()).WithLag(lag))
		}
	}
	for _, load := range []float64{0.5, 0.95, 1.3} {
		list = append(list, scenario(load, "slow").WithFault(routebench.Slow), scenario(load, "failing").WithFault(routebench.Failing))
	}
	return append(list, scenario(0.5, "burst").WithBurst())
}
