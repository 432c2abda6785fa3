// Package workspace describes the configuration that operators declare: workspaces with guaranteed shapes and request
// limits, defaults for the whole fleet, and exceptions from them with reasons. Enforcing it, and replicating and encoding
// its revisions, are left to other packages.
package workspace
