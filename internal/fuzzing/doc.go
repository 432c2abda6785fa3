// Package fuzzing fixes the seed and the number of checks of stateful tests.
package fuzzing
