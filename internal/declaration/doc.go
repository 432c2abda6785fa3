// Package declaration reads and writes the TOML text in which operators declare
// workspaces, defaults and exceptions, and lists the changes between two texts.
package declaration
