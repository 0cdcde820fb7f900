package counter

const (
	// RuntimeHeapBytes is the number of bytes of live and unswept heap objects.
	RuntimeHeapBytes Name = "runtimeHeapBytes"
	// RuntimeTotalBytes is the number of bytes of memory mapped by the Go runtime.
	RuntimeTotalBytes Name = "runtimeTotalBytes"
	// RuntimeGoroutines is the number of goroutines.
	RuntimeGoroutines Name = "runtimeGoroutines"
	// StoreReads is the number of reads of the store, lease renewals excluded.
	StoreReads Name = "storeReads"
	// StoreWrites is the number of writes of the store, lease renewals included.
	StoreWrites Name = "storeWrites"
	// StoreWatches is the number of open watches that wait for changes of the store.
	StoreWatches Name = "storeWatches"
	// StoreBytes is the number of bytes sent to and received from the store.
	StoreBytes Name = "storeBytes"
	// PeerBytes is the number of bytes sent and received in calls to other daemons,
	// forwarded requests excluded.
	PeerBytes Name = "peerBytes"
	// WorkerBytes is the number of bytes sent to and received from the agents of workers.
	WorkerBytes Name = "workerBytes"
	// HostListBytes is the number of bytes sent to and received from the host list.
	HostListBytes Name = "hostListBytes"
	// Requests is the number of urgent requests by outcome.
	Requests Name = "requests"
)
