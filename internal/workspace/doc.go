// Package workspace describes what operators declare: workspaces with
// guaranteed shapes, defaults for the whole fleet, and exceptions with reasons.
package workspace
