// Package scheduler is the control role for jobs of steps: it keeps the replicated state, answers calls, and drives the
// workers through their agents while it leads.
package scheduler
