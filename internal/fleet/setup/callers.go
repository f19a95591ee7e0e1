package setup

import "syscall"

const (
	// usedDescriptors is how many descriptors a host uses, at most, unless the settings
	// name a number. It is what the smallest hosts have.
	usedDescriptors = 4100
	// reservedDescriptors are for listeners, the store, other hosts and readiness checks;
	// at most 1/maxReservedShare of all. Of the rest, half is for callers' connections: a
	// call takes one to its caller and mostly one to a server.
	reservedDescriptors = 200
	maxReservedShare    = 4
	// connMemoryBytes is the memory of the host for each connection. One takes about 20 KB,
	// so that all take a fifth.
	connMemoryBytes = 100 << 10
)

// MaxCallers returns the number of connections of callers that a host may have, by
// the max_descriptors and memory_mb of its settings.
func MaxCallers(maxDescriptors, memoryMB int) int {
	descriptors := usedDescriptors
	if maxDescriptors > 0 {
		descriptors = maxDescriptors
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err == nil && limit.Cur < uint64(descriptors) {
		descriptors = int(limit.Cur)
	}
	callers := max(1, (descriptors-min(reservedDescriptors, descriptors/maxReservedShare))/2)
	if memoryMB > 0 {
		callers = min(callers, memoryMB<<20/connMemoryBytes)
	}
	return callers
}
