// Package rendezvous assigns work to the entry hosts of an availability zone, and
// shards to those of the whole deployment, by rendezvous hashing. Hosts with the
// same set of live hosts compute the same assignment without communication, and
// the loss of a host moves only the work assigned to it.
//
// Hosts may have different sets of live hosts for a while. A user of an
// assignment must tolerate two holders in that time or guard it with a lease.
package rendezvous

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Score returns the weight of a host for a name; the host with the highest
// weight is assigned.
// Source: D. Thaler and C. Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous", 1996.
func Score(host, name string) uint64 {
	return Mix(Hash(host) ^ Mix(Hash(name)))
}

// Hash returns the 64-bit hash of a name.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Mix spreads the bits of x. Source: the finalizer of splitmix64.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// First returns the host with the highest score for name, empty for no hosts.
func First(hosts []string, name string) string {
	var first string
	var best uint64
	for _, host := range hosts {
		if score := Score(host, name); first == "" || score > best || (score == best && host < first) {
			first, best = host, score
		}
	}
	return first
}

// Rank returns the position of host among hosts ordered by score for name: 0 for
// the highest, and len(hosts) if host is not in hosts.
func Rank(hosts []string, host, name string) int {
	own := Score(host, name)
	rank, listed := 0, false
	for _, other := range hosts {
		if other == host {
			listed = true
			continue
		}
		if score := Score(other, name); score > own || (score == own && other < host) {
			rank++
		}
	}
	if !listed {
		return len(hosts)
	}
	return rank
}

// ShardName returns the name that a shard is assigned by.
func ShardName(shard int) string { return fmt.Sprintf("shard/%04d", shard) }

// Shard returns the shard of a request key or job id.
func Shard(key string, shards int) int {
	return int(Mix(Hash(key)) % uint64(shards))
}
