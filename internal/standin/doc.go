// Package standin is a small stand-in of the platform's endpoint and worker,
// for trials and tests; it can be told to misbehave.
package standin
