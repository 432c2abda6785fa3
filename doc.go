// Package rosemarywind runs a whole system in one process, for demonstrations and tests: control hosts, entry hosts,
// and agents beside stand-ins for the platform's workers and endpoints. All of them listen on loopback addresses and
// use keys that the system issues itself. Command rosemarywind runs the roles as separate processes.
package rosemarywind
