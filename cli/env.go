package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/wigeontiller/wigeontiller/admin"
	"github.com/wigeontiller/wigeontiller/configuration"
	documents "github.com/wigeontiller/wigeontiller/environment"
)

const environmentsPath = "/admin/v1/environments"

func addEnvironment(parser *flaggy.Parser) []*command {
	group := newSubcommand("env", "Try, promote, withdraw and show environments.")
	parser.AttachSubcommand(group, 1)
	return []*command{
		addTry(group), addPromoteOrWithdraw(group, "promote"), addPromoteOrWithdraw(group, "withdraw"),
		addShow(group), addList(group), addHistory(group),
	}
}

func addTry(group *flaggy.Subcommand) *command {
	sub := newSubcommand("try", "Check a document and put it in trial.")
	client, file := new(operator), ""
	client.addCommandFlags(sub)
	sub.AddPositionalValue(&file, "file", 1, true, "The environment document.")
	group.AttachSubcommand(sub, 1)
	return &command{sub: sub, run: func(env *environment) error {
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(ErrUsage, err.Error())
		}
		document, err := documents.Parse(data)
		if err != nil {
			return eris.Wrap(ErrInvalid, file+":\n"+err.Error())
		}
		return runCommand(env, client, fasthttp.MethodPut, environmentsPath+"/"+document.Name+"/trial", data)
	}}
}

// addPromoteOrWithdraw adds the promote or withdraw command. Without flags it applies to
// the current version and, for promote, to the digest in trial.
func addPromoteOrWithdraw(group *flaggy.Subcommand, verb string) *command {
	sub := newSubcommand(verb, verb+" an environment.")
	client, name, digest := new(operator), "", ""
	replaces := uint64(0)
	client.addCommandFlags(sub)
	sub.AddPositionalValue(&name, "name", 1, true, "The environment's name.")
	sub.UInt64(&replaces, "", "replaces", "The version replaced; the default is the current one.")
	sub.String(&digest, "", "digest", "The digest tried; the default is the one in trial.")
	group.AttachSubcommand(sub, 1)
	return &command{sub: sub, run: func(env *environment) error {
		request := admin.PromoteRequest{Digest: digest, Replaces: replaces}
		if err := client.fillDefaults(name, verb, &request); err != nil {
			return err
		}
		body, err := json.Marshal(request)
		if err != nil {
			return err
		}
		return runCommand(env, client, fasthttp.MethodPost, environmentsPath+"/"+name+"/"+verb, body)
	}}
}

func (o *operator) fillDefaults(name, verb string, request *admin.PromoteRequest) error {
	if request.Replaces != 0 && (request.Digest != "" || verb == "withdraw") {
		return nil
	}
	var current admin.EnvironmentReply
	if err := o.call(fasthttp.MethodGet, environmentsPath+"/"+name, nil, &current); err != nil {
		return err
	}
	if request.Replaces == 0 {
		request.Replaces = current.Version
	}
	if request.Digest == "" && verb == "promote" {
		request.Digest = current.TrialDigest
	}
	return nil
}

func runCommand(env *environment, client *operator, method, path string, body []byte) error {
	var outcome configuration.Outcome
	if err := client.call(method, path, body, &outcome); err != nil {
		return err
	}
	return env.print(outcome, fmt.Sprintf("%s %s: version %d %s\n", outcome.Kind, outcome.Target, outcome.Version, outcome.Digest))
}

func addShow(group *flaggy.Subcommand) *command {
	sub := newSubcommand("show", "Show an environment and its document.")
	client, name := new(operator), ""
	client.addFlags(sub)
	sub.AddPositionalValue(&name, "name", 1, true, "The environment's name.")
	group.AttachSubcommand(sub, 1)
	return &command{sub: sub, run: func(env *environment) error {
		var reply admin.EnvironmentReply
		if err := client.call(fasthttp.MethodGet, environmentsPath+"/"+name, nil, &reply); err != nil {
			return err
		}
		text := fmt.Sprintf("# version %d\n# production %s\n# trial %s\n%s", reply.Version, reply.ProductionDigest, reply.TrialDigest, reply.Document)
		return env.print(reply, text)
	}}
}

func addList(group *flaggy.Subcommand) *command {
	sub := newSubcommand("list", "List the environments.")
	client := new(operator)
	client.addFlags(sub)
	group.AttachSubcommand(sub, 1)
	return &command{sub: sub, run: func(env *environment) error {
		var reply map[string]configuration.Environment
		if err := client.call(fasthttp.MethodGet, environmentsPath, nil, &reply); err != nil {
			return err
		}
		text := ""
		for _, name := range slices.Sorted(maps.Keys(reply)) {
			state := reply[name]
			text += fmt.Sprintf("%s\t%d\tproduction=%s\ttrial=%s\n", name, state.Version, state.ProductionDigest, state.TrialDigest)
		}
		return env.print(reply, text)
	}}
}

func addHistory(group *flaggy.Subcommand) *command {
	sub := newSubcommand("history", "List an environment's latest commands.")
	client, name := new(operator), ""
	client.addFlags(sub)
	sub.AddPositionalValue(&name, "name", 1, true, "The environment's name.")
	group.AttachSubcommand(sub, 1)
	return &command{sub: sub, run: func(env *environment) error {
		var reply []configuration.Outcome
		if err := client.call(fasthttp.MethodGet, environmentsPath+"/"+name+"/history", nil, &reply); err != nil {
			return err
		}
		text := ""
		for _, outcome := range reply {
			text += fmt.Sprintf("%d\t%s\t%s\t%s\n", outcome.Version, outcome.Kind, outcome.Digest, outcome.CommandID)
		}
		return env.print(reply, text)
	}}
}
