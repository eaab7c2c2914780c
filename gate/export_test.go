package gate

// KnownAccounts returns the number of accounts with a name that the gate keeps.
func KnownAccounts(g *Gate) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.accounts
}
