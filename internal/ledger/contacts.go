package ledger

import "slices"

// contacts holds addresses of hosts that may know the log although the membership of this member does not list them:
// the settings may have changed since its disk was initialized, and all members that it knows may be gone.
type contacts struct {
	seeds []string // the seeds of the settings as last read
}

// Seeds is the input for the seed addresses of the settings, at the start and at each change.
type Seeds struct{ addresses []string }

func (Seeds) input() {}

// NewSeeds returns the input for the seed addresses of the settings, which the caller must not modify afterwards.
func NewSeeds(addresses []string) Seeds { return Seeds{addresses: addresses} }

// onSeeds replaces the seeds. A non-voter asks the new ones to join at once.
func (c *Core) onSeeds(in Seeds) {
	if slices.Equal(c.contacts.seeds, in.addresses) {
		return
	}
	c.contacts.seeds = in.addresses
	c.askSoon()
}

// askSoon makes a non-voter send its next request to join at once.
func (c *Core) askSoon() {
	if !c.membership.isVoter(c.self) {
		c.wakeAt = c.now
	}
}

// joinAddresses returns the addresses of the other members and of the contacts, without duplicates.
func (c *Core) joinAddresses() (list []string) {
	for _, e := range c.membership.members {
		if e.id != c.self {
			list = append(list, e.address)
		}
	}
	list = append(list, c.contacts.seeds...)
	slices.Sort(list)
	return slices.DeleteFunc(slices.Compact(list), func(a string) bool { return a == c.address })
}
