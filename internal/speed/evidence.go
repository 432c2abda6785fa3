package speed

// correlation is the share of the deviation of a run that it has in common with the other runs of its step on the same
// worker: they begin together, wait for the same members and are reported together.
const correlation = 0.5

// group holds the runs of a step on one worker, of which at least one is at work.
type group struct {
	runs      int // at work
	residuals residuals
}

// residuals holds the weighted residuals of runs twice. Those in means count less the further they are off the mean of
// their worker, which makes the mean robust. Those in pairs count less the further they are off zero, so that their weights
// do not depend on other groups.
type residuals struct {
	means average
	pairs average
}

func (r residuals) plus(s residuals) residuals {
	return residuals{r.means.plus(s.means), r.pairs.plus(s.pairs)}
}

func (r residuals) minus(s residuals) residuals {
	return residuals{r.means.minus(s.means), r.pairs.minus(s.pairs)}
}

// end counts the end of a run and reports whether it was the last one at work. Its residual stays in the group.
func (g *group) end() bool {
	g.runs--
	return g.runs == 0
}

// evidence returns what the group says of its worker.
func (g *group) evidence() evidence {
	means, pairs := independent(g.residuals.means), independent(g.residuals.pairs)
	return evidence{
		average: means, pairs: pairs, sumSquares: pairs.sum * pairs.sum, weightSquares: pairs.weight * pairs.weight,
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

// evidence is a weighted mean of the residuals of groups, with what it takes to tell whether groups of one worker agree.
type evidence struct {
	average
	pairs         average
	sumSquares    float64 // of the groups' weighted residuals in pairs
	weightSquares float64 // of the groups' weights there
}

func (e evidence) plus(f evidence) evidence {
	return evidence{
		e.average.plus(f.average), e.pairs.plus(f.pairs), e.sumSquares + f.sumSquares, e.weightSquares + f.weightSquares,
	}
}

func (e evidence) minus(f evidence) evidence {
	return evidence{
		e.average.minus(f.average), e.pairs.minus(f.pairs), max(e.sumSquares-f.sumSquares, 0),
		max(e.weightSquares-f.weightSquares, 0),
	}
}

// scaled returns the evidence with a share of its weight.
func (e evidence) scaled(share float64) evidence {
	return evidence{
		e.average.scaled(share), e.pairs.scaled(share), e.sumSquares * share * share, e.weightSquares * share * share,
	}
}

// agreement returns the mean product of the residuals of two different groups, and the weight of all such pairs. Errors
// that the runs of one group have in common do not enter into it.
func (e evidence) agreement() (mean, weight float64) {
	weight = e.pairs.weight*e.pairs.weight - e.weightSquares
	if weight < minPairWeight {
		return 0, 0
	}
	return (e.pairs.sum*e.pairs.sum - e.sumSquares) / weight, weight
}

// minPairWeight is the least weight of the pairs of groups from which their agreement counts: a pair of groups counts
// twice.
const minPairWeight = 0.5
