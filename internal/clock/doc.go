// Package clock waits for time to pass.
package clock
