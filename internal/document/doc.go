// Package document reads TOML texts that people write and reports each problem
// with its file, line, key and what is allowed.
package document
