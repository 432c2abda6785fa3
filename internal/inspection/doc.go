// Package inspection finds errors, entries that can never match, limits that contradict each other, and the differences
// to the configuration in force, in a configuration that has not been sent yet.
package inspection
