// Package declaration parses and formats the TOML text in which operators declare workspaces, defaults and exceptions,
// lists the changes between two configurations, and resolves the value of a default for a worker or a workspace. The
// configuration itself is in package workspace, the syntax and the kinds of values in package document.
package declaration
