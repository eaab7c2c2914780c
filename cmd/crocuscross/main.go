// Command crocuscross is the daemon beside each backend server and the
// operators' command line.
package main

func main() {}
