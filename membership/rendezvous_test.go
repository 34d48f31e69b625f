package membership_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/wigeontiller/wigeontiller/membership"
)

func TestOwnerMovesOnlyRolesOfRemovedMember(t *testing.T) {
	is := is.New(t)
	var members []membership.Member
	for i := range 20 {
		members = append(members, membership.Member{Name: fmt.Sprintf("entry-%d", i)})
	}
	held := map[string]int{}
	for i := range 1000 {
		role := fmt.Sprintf("role/%d", i)
		before, ok := membership.Owner(role, members)
		is.True(ok)
		held[before.Name]++
		after, _ := membership.Owner(role, members[1:])
		is.True(after.Name == before.Name || before.Name == members[0].Name)
	}
	for _, count := range held {
		is.True(count > 10 && count < 120) // about 50 each
	}
	_, ok := membership.Owner("role", nil)
	is.True(!ok)
}

func TestRoleHasExactlyOneOwnerWhenViewsAgree(t *testing.T) {
	is := is.New(t)
	n := joinedNetwork(t, 8, 21)
	for i := range 50 {
		role := fmt.Sprintf("role/%d", i)
		owner, _ := membership.Owner(role, n.nodes[0].state.Live(n.now, membership.ClusterScope))
		for _, b := range n.nodes {
			is.Equal(b.state.Owns(n.now, role, membership.ClusterScope), b.member.Name == owner.Name)
		}
	}
}
