// Package document reads TOML files that operators edit, converts their values to Go types and reports each problem
// with its file, line, key and allowed values. Which keys a file may have is left to packages settings and declaration.
package document
