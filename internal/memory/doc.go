// Package memory finds out how much memory a process may use, and makes the garbage collector keep to it.
package memory
