package storage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"rosemarywind.example/rosemarywind/internal/ledger"
)

// Guards against a host that is stopped as planned after its successor has caught up and keeps its vote, so that the loss
// of one more disk leaves no majority.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5, 6} {
		for _, leads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, leader %t", size, leads), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					r := newReplacement(t, size, 1, seed)
					for range size - initialVoters + 1 {
						r.addHost()
					}
					r.runFor(r.tolerance.catchUp + time.Duration(seed)*100*time.Millisecond)
					r.stopPlanned(voterThatLeads(r, leads))
					r.requireTolerant()
				}
			})
		}
	}
}

// Guards against a planned stop after which two voters are gone, of whom the new leader knows neither, so that the loss of
// one more disk leaves no majority.
func TestPlannedStopBesideSilentVoter(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("leader %t", leads), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				r := newReplacement(t, 3, 1, seed)
				r.addHost()
				r.addHost()
				r.runFor(r.tolerance.catchUp)
				r.stopForGood(voterThatLeads(r, false))
				r.runFor(r.tolerance.catchUp)
				r.requireTolerant()
				r.stopPlanned(voterThatLeads(r, leads))
				r.requireTolerant()
			}
		})
	}
}

// Guards against a host that is stopped as planned while the leader is lost, and goes before another leader could give its
// vote to the successor.
func TestPlannedStopWithoutLeader(t *testing.T) {
	t.Parallel()
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d hosts", size), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				r := newReplacement(t, size, 1, seed)
				for range size - initialVoters + 1 {
					r.addHost()
				}
				r.runFor(r.tolerance.catchUp + time.Second)
				r.wipe(voterThatLeads(r, true), 2*time.Second)
				r.stopPlanned(voterThatLeads(r, false))
				if !r.runUntil(recoveryTime, func() bool { return r.leaseHolder() != nil }) {
					r.t.Fatalf("no leader %s after the stop", recoveryTime)
				}
			}
		})
	}
}

// voterThatLeads returns the leader or another voter.
func voterThatLeads(r *replacement, leads bool) *host {
	i := slices.IndexFunc(r.hosts, func(h *host) bool {
		if h.core == nil {
			return false
		}
		m, _ := h.core.Membership().Find(h.core.Self())
		return m.Voter() && (h.core.Role() == ledger.Leader) == leads
	})
	return r.hosts[i]
}
