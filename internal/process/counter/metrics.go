package counter

const (
	// RuntimeHeapBytes is the memory of live and unswept objects, in bytes.
	RuntimeHeapBytes Name = "runtimeHeapBytes"
	// RuntimeTotalBytes is all memory mapped by the Go runtime, in bytes.
	RuntimeTotalBytes Name = "runtimeTotalBytes"
	// RuntimeGoroutines is the number of goroutines.
	RuntimeGoroutines Name = "runtimeGoroutines"
)
