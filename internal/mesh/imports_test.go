package mesh_test

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// The mesh implements consensus, membership, discovery, forwarding and replication itself and must not link libraries
// for them.
func TestMeshDependencies(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "ottershift/cmd/proxy", "ottershift/cmd/controller", "ottershift/cmd/meshctl", "ottershift/cmd/meshsim").Output()
	must.NoError(t, err)
	deps := strings.Fields(string(out))
	must.Greater(t, 100, len(deps))
	for _, dep := range deps {
		for _, excluded := range []string{"hashicorp/memberlist", "hashicorp/raft", "etcd.io/raft", "net/http/httputil", "ottershift/internal/cluster"} {
			must.StrNotContains(t, dep, excluded)
		}
	}
}
