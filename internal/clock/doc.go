// Package clock provides a monotonic clock that includes suspended time, and a sleep that a context can end.
package clock
