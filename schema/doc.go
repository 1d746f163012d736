// Package schema holds the interface definitions of lentilward and the Go code
// generated from them; `make generate` regenerates the code.
package schema
