package fold

// uniqueIndex indexes the resources of one kind by a value that no two of them share, and counts
// them by the resource that they belong to: routes by path prefix and service, API keys by digest
// and customer.
type uniqueIndex struct {
	byValue cowMap[string, string]
	byOwner cowMap[string, int]
}

func (x *uniqueIndex) add(name, value, owner string) {
	x.byValue.set(value, name)
	x.byOwner.set(owner, x.count(owner)+1)
}

// remove removes a resource. A change earlier in the same bundle may have given its value to
// another resource; that resource keeps the value.
func (x *uniqueIndex) remove(name, value, owner string) {
	if holder, _ := x.holderOf(value); holder == name {
		x.byValue.delete(value)
	}
	if n := x.count(owner) - 1; n > 0 {
		x.byOwner.set(owner, n)
		return
	}
	x.byOwner.delete(owner)
}

// holderOf returns the name of the resource with a value.
func (x *uniqueIndex) holderOf(value string) (name string, ok bool) { return x.byValue.get(value) }

// count returns the number of resources that belong to an owner.
func (x *uniqueIndex) count(owner string) int {
	n, _ := x.byOwner.get(owner)
	return n
}

// fork returns a copy that may be modified until it is shared.
func (x *uniqueIndex) fork() uniqueIndex {
	return uniqueIndex{byValue: x.byValue.fork(), byOwner: x.byOwner.fork()}
}
