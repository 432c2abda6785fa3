// Package settings reads and checks the TOML settings file of each role. Every key is defined once, with its kind,
// default, range and meaning; the checks, the example files and the reference tables derive from the definitions. The
// syntax and the kinds of values are in package document.
package settings
