package counter

const (
	// RuntimeHeapBytes is the memory of live and unswept objects, in bytes.
	RuntimeHeapBytes Name = "runtimeHeapBytes"
	// RuntimeTotalBytes is all memory mapped by the Go runtime, in bytes.
	RuntimeTotalBytes Name = "runtimeTotalBytes"
	// RuntimeGoroutines is the number of goroutines.
	RuntimeGoroutines Name = "runtimeGoroutines"
	// StoreReads is the number of reads of the store, lease renewals excluded.
	StoreReads Name = "storeReads"
	// StoreWrites is the number of writes of the store, lease renewals included.
	StoreWrites Name = "storeWrites"
	// StoreWatches is the number of watches that wait at the store.
	StoreWatches Name = "storeWatches"
	// StoreBytes is the traffic with the store both ways, in bytes.
	StoreBytes Name = "storeBytes"
	// PeerBytes is the traffic of calls to other daemons both ways, in bytes,
	// forwarded requests excluded.
	PeerBytes Name = "peerBytes"
	// WorkerBytes is the traffic with the agents of workers both ways, in bytes.
	WorkerBytes Name = "workerBytes"
	// HostListBytes is the traffic with the host list both ways, in bytes.
	HostListBytes Name = "hostListBytes"
	// Requests holds the numbers of urgent requests by outcome.
	Requests Name = "requests"
)
