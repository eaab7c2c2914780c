// Command standin plays the platform's log, backend servers and callers in
// tests and in the demo. It is not shipped.
package main

func main() {}
