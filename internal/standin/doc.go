// Package standin stands in for the platform's endpoint and worker in the demo, in trials and in tests, and injects
// faults on request. It runs no real work: a request is answered with its own content, and a task ends after the run
// time that its payload states. Scheduling and the agent beside the worker are left to other packages.
package standin
