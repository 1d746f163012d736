// Package schema holds the interface definitions of lentilward and the Go code
// generated from them; `make generate` renews the code.
package schema
