package speed

// correlation is the share of the deviation of a run that it has in common with the other runs of its step on the same
// worker: they begin together, wait for the same members and are reported together.
const correlation = 0.5

// group holds the runs of a step on one worker, of which at least one is at work.
type group struct {
	runs      int // at work
	residuals residuals
}

// residuals holds two averages of the same residuals, which differ in the weights of outliers. In forMean a residual counts
// less the further it is off the mean of its worker, which makes that mean robust. In forAgreement it counts less the
// further it is off zero, so that its weight does not depend on other groups.
type residuals struct {
	forMean      average
	forAgreement average
}

func (r residuals) plus(s residuals) residuals {
	return residuals{r.forMean.plus(s.forMean), r.forAgreement.plus(s.forAgreement)}
}

func (r residuals) minus(s residuals) residuals {
	return residuals{r.forMean.minus(s.forMean), r.forAgreement.minus(s.forAgreement)}
}

// end counts the end of a run and reports whether it was the last one at work. Its residual stays in the group.
func (g *group) end() bool {
	g.runs--
	return g.runs == 0
}

// evidence returns what the group says of its worker.
func (g *group) evidence() evidence {
	own := independent(g.residuals.forAgreement)
	return evidence{
		average: independent(g.residuals.forMean), forAgreement: own,
		sumSquares: own.sum * own.sum, weightSquares: own.weight * own.weight,
	}
}

// independent returns the average of a group with the weight of as many independent runs.
func independent(a average) average {
	if a.weight < minWeight {
		return average{}
	}
	weight := a.weight / (1 + correlation*max(a.weight-1, 0))
	return average{a.mean() * weight, weight}
}

// evidence is a weighted mean of the residuals of groups, with the sums from which agreement is computed.
type evidence struct {
	average
	forAgreement  average
	sumSquares    float64 // sum of the squares of the groups' forAgreement.sum
	weightSquares float64 // sum of the squares of the groups' forAgreement.weight
}

func (e evidence) plus(f evidence) evidence {
	return evidence{
		e.average.plus(f.average), e.forAgreement.plus(f.forAgreement), e.sumSquares + f.sumSquares, e.weightSquares + f.weightSquares,
	}
}

func (e evidence) minus(f evidence) evidence {
	return evidence{
		e.average.minus(f.average), e.forAgreement.minus(f.forAgreement), max(e.sumSquares-f.sumSquares, 0),
		max(e.weightSquares-f.weightSquares, 0),
	}
}

// scaled returns the evidence with a share of its weight.
func (e evidence) scaled(share float64) evidence {
	return evidence{
		e.average.scaled(share), e.forAgreement.scaled(share), e.sumSquares * share * share, e.weightSquares * share * share,
	}
}

// agreement returns the mean product of the residuals of two different groups, and the weight of all such pairs. Errors
// that the runs of one group have in common do not enter into it.
func (e evidence) agreement() (mean, weight float64) {
	weight = e.forAgreement.weight*e.forAgreement.weight - e.weightSquares
	if weight < minPairWeight {
		return 0, 0
	}
	return (e.forAgreement.sum*e.forAgreement.sum - e.sumSquares) / weight, weight
}

// minPairWeight is the least weight of the pairs of groups from which their agreement counts: a pair of groups counts
// twice.
const minPairWeight = 0.5
