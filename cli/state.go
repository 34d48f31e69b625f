package cli

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/admin"
)

// addState adds the commands "dc out|in" and "vm out|in".
func addState(parser *flaggy.Parser) []*command {
	dataCentres := newSubcommand("dc", "Take a data centre out of service or back in.")
	vms := newSubcommand("vm", "Take a VM out of service or back in.")
	parser.AttachSubcommand(dataCentres, 1)
	parser.AttachSubcommand(vms, 1)
	var commands []*command
	for _, state := range []string{"out", "in"} {
		commands = append(commands,
			addSetState(dataCentres, "/admin/v1/datacentres/", state),
			addSetState(vms, "/admin/v1/vms/", state))
	}
	return commands
}

func addSetState(group *flaggy.Subcommand, path, state string) *command {
	sub := newSubcommand(state, "Take it "+state+".")
	client, name := new(operator), ""
	client.addCommandFlags(sub)
	sub.AddPositionalValue(&name, "name", 1, true, "The name.")
	group.AttachSubcommand(sub, 1)
	return &command{sub: sub, run: func(env *environment) error {
		body, err := json.Marshal(admin.StateRequest{State: state})
		if err != nil {
			return err
		}
		return runCommand(env, client, fasthttp.MethodPut, path+name, body)
	}}
}

func addStatus(parser *flaggy.Parser) []*command {
	sub := newSubcommand("status", "Show a node's state.")
	client := new(operator)
	client.addFlags(sub)
	parser.AttachSubcommand(sub, 1)
	return []*command{{sub: sub, run: func(env *environment) error {
		var status admin.Status
		if err := client.call(fasthttp.MethodGet, "/admin/v1/status", nil, &status); err != nil {
			return err
		}
		return env.print(status, statusText(status))
	}}}
}

func statusText(status admin.Status) string {
	lines := []string{
		fmt.Sprintf("node\t%s\t%s", status.Node, status.DataCentre),
		fmt.Sprintf("ready\t%t\tdraining\t%t", status.Ready, status.Draining),
		fmt.Sprintf("version\t%d\tstore reachable\t%t", status.Version, status.StoreReachable),
		fmt.Sprintf("waiting\t%d\trunning\t%d", status.Waiting, status.Running),
		"out\t" + strings.Join(append(status.OutDataCentres, status.OutVMs...), " "),
	}
	for _, peer := range status.Peers {
		line := fmt.Sprintf("peer\t%s\t%s\t%s\t%d", peer.Name, peer.DataCentre, peer.State, peer.Version)
		if peer.Version < status.Version {
			line += "\tlagging"
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n") + "\n"
}
