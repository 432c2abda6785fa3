// Package admission bounds the requests of each workspace and orders those that wait.
package admission
