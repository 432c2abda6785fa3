package main

import "fmt"

// route returns the configuration's entry of a queue.
func route(name, prefix string, priority int, public bool) string {
	return fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,`+
		`"priority":%d,"service":%q,"maxAttempts":2,"stretch":3.0,"public":%t}`, name, hostName, prefix, priority, serviceName, public)
}

// configuration returns a complete configuration with the given routes and tenants.
func configuration(version int, routes, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"healthPath":"/health","maxConns":64,"protocol":"h1","tls":false,`+
		`"enforcesCapacity":false,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,`+
		`"idleTimeoutMs":15000},"tenants":[%s]}`, version, routes, serviceName, tenants)
}

const (
	keyA    = "d4a3hwrr6x73d3zji9n7"
	keyB    = "3hh2b9wu3fexd9dnn2ct"
	tenants = `{"name":"kaje80","apiKeys":["` + keyA + `"],"priority":1,"guaranteed":{"gpu":4}},` +
		`{"name":"bolu22","apiKeys":["` + keyB + `"],"priority":1,"guaranteed":{"gpu":4}}`
)

var configurations = map[string]string{}

func job(spec, step string) string { return fmt.Sprintf(`{"spec":%q,"steps":[%s]}`, spec, step) }
