package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"strings"
	"text/template"
	"time"
)

//go:embed wire
var wireFiles embed.FS

// wire has the names of the platform's protocol, by the names that the code has for them.
var wire = readNames()

func readNames() map[string]string {
	data, err := wireFiles.ReadFile("wire/names.txt")
	if err != nil {
		panic(err)
	}
	names := map[string]string{}
	for line := range strings.Lines(string(data)) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && name != "#" {
			names[name] = value
		}
	}
	return names
}

// configuration is the operator's configuration.
type configuration struct {
	Version  int
	Routes   []route
	Services []service
	Tenants  []tenant
}

// tenant is a party that sends requests, with its allowance.
type tenant struct {
	Name, Key   string
	Rate, Burst float64
}

// route is a route to one service.
type route struct {
	Name, Host, Prefix, Kind, Service string
	Timeout, Target                   time.Duration
}

// service is a service with the connections that each of its servers accepts.
type service struct {
	Name        string
	Connections int
}

// encode fills in a template of a body in JSON.
func encode(file string, value any) json.RawMessage {
	var text, body bytes.Buffer
	if err := template.Must(template.ParseFS(wireFiles, "wire/"+file)).Execute(&text, value); err != nil {
		panic(err)
	}
	if err := json.Compact(&body, text.Bytes()); err != nil {
		panic(err)
	}
	return body.Bytes()
}
