// Package job describes gang jobs: what a caller submitted, the state of the job and the placement of its members. Its
// methods make the changes of state; deciding when a change is allowed is left to package registry, and when to propose
// one to package gang and the controllers.
package job
