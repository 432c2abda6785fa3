// Package settings reads the TOML settings of each role. Every key is declared
// once, with its kind, default, range and meaning; checks, examples and the
// reference text derive from the declarations.
package settings
