// Command generate writes the files that are generated from the source code. Its
// argument is the root of the repository.
package main

import (
	"log"
	"os"
	"path/filepath"

	"github.com/kumquatstack/kumquatstack/internal/cataloguer"
)

func main() {
	root := os.Args[1]
	files, err := cataloguer.Files(root)
	if err != nil {
		log.Fatal(err)
	}
	for path, content := range files {
		if err := os.WriteFile(filepath.Join(root, path), []byte(content), 0o644); err != nil {
			log.Fatal(err)
		}
	}
}
