// Package speed estimates, from the progress of runs, how fast workers are relative to each other and how much images
// slow each other down on one worker. It is a decision package: it reads no clock and knows no transport.
package speed
