package pledger

import (
	"os"
	"testing"

	"github.com/kumquatstack/kumquatstack/internal/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Main(m)) }
