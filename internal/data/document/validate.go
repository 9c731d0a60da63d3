package document

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"strings"

	"redwingloft/pkg/api"
)

// Limits on the values of a document.
const (
	maxStages   = 16
	maxDeadline = Milliseconds(10 * 60 * 1000)
	maxSlots    = 100_000
)

// MaxNameLength is the largest length of a name in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(fmt.Sprintf(`^[a-z0-9][a-z0-9._-]{0,%d}$`, MaxNameLength-1))

// checker collects validation errors.
type checker struct {
	faults []api.Fault
}

func (c *checker) addf(path, format string, args ...any) {
	c.faults = append(c.faults, api.Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.addf(path, "%q is not a valid name: use 1 to %d lower-case letters, digits, '.', '_' or '-', starting with a letter or digit", name, MaxNameLength)
	}
}

func (c *checker) number(path string, value, low, high float64) {
	if math.IsNaN(value) || value < low || value > high {
		c.addf(path, "%g is not between %g and %g", value, low, high)
	}
}

func (c *checker) unique(path, name string, seen map[string]bool) {
	if seen[name] {
		c.addf(path, "%q is used more than once", name)
	}
	seen[name] = true
}

// Validate returns all validation errors of d, each with its path.
func (d *Document) Validate() []api.Fault {
	c := &checker{}
	if d.Format != Format {
		c.addf("format", "%d is not supported; the supported format is %d", d.Format, Format)
	}
	c.name("deployment", d.Deployment)
	c.weights(d.Weights)
	c.limits(d.Limits)
	groups := c.groups(d.Groups)
	pipelines := c.pipelines(d.Pipelines, groups)
	services := c.services(d.Services, groups)
	c.workspaces(d.Workspaces, pipelines, services)
	c.operators(d.Operators)
	return c.faults
}

func (c *checker) weights(w Weights) {
	c.number("weights.attainment", w.Attainment, 0, 1)
	c.number("weights.cost", w.Cost, 0, 1)
	if w.Attainment == 0 && w.Cost == 0 {
		c.addf("weights", "attainment and cost must not both be 0")
	}
}

func (c *checker) limits(l Limits) {
	c.number("limits.queue_length", float64(l.QueueLength), 0, 1_000_000)
	c.number("limits.body_bytes", float64(l.BodyBytes), 0, 64<<20)
	c.number("limits.retry_share", l.RetryShare, 0, 1)
}

func (c *checker) groups(groups []Group) map[api.GroupName]GroupKind {
	kinds := map[api.GroupName]GroupKind{}
	seen, ids, addresses := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i, group := range groups {
		path := fmt.Sprintf("groups[%d]", i)
		c.name(path+".name", string(group.Name))
		c.unique(path+".name", string(group.Name), seen)
		c.name(path+".kind", string(group.Kind))
		if group.Fencing != "" && group.Fencing != FencingIgnored && group.Fencing != FencingChecked {
			c.addf(path+".fencing", "%q is not one of %q and %q", group.Fencing, FencingIgnored, FencingChecked)
		}
		c.number(path+".cost_per_second", float64(group.CostPerSecond), 0, math.MaxFloat64)
		c.number(path+".cost_per_thousand_tokens", float64(group.CostPerThousandTokens), 0, math.MaxFloat64)
		if len(group.Upstreams) == 0 {
			c.addf(path+".upstreams", "the group has no upstreams")
		}
		for j, upstream := range group.Upstreams {
			c.upstream(fmt.Sprintf("%s.upstreams[%d]", path, j), upstream, ids, addresses)
		}
		kinds[group.Name] = group.Kind
	}
	return kinds
}

func (c *checker) upstream(path string, upstream Upstream, ids, addresses map[string]bool) {
	c.name(path+".id", string(upstream.ID))
	c.unique(path+".id", string(upstream.ID), ids)
	if _, err := netip.ParseAddrPort(string(upstream.Address)); err != nil {
		c.addf(path+".address", "%q is not a valid IP address and port", upstream.Address)
	}
	c.unique(path+".address", string(upstream.Address), addresses)
	c.name(path+".data_centre", string(upstream.DataCentre))
	c.number(path+".slots", float64(upstream.Slots), 1, maxSlots)
}

// requiredGroupKinds maps each stage kind to the kind of group that it requires.
var requiredGroupKinds = map[StageKind]GroupKind{
	StageEncode:   GroupEmbedding,
	StageRetrieve: GroupSearch,
	StageRerank:   GroupRerank,
	StageGenerate: GroupChat,
}

func (c *checker) pipelines(pipelines []Pipeline, groups map[api.GroupName]GroupKind) map[api.PipelineName]map[api.VersionName]bool {
	declared := map[api.PipelineName]map[api.VersionName]bool{}
	seen := map[string]bool{}
	for i, pipeline := range pipelines {
		path := fmt.Sprintf("pipelines[%d]", i)
		c.name(path+".name", string(pipeline.Name))
		c.unique(path+".name", string(pipeline.Name), seen)
		c.number(path+".deadline_ms", float64(pipeline.Deadline), 1, float64(maxDeadline))
		if len(pipeline.Versions) == 0 {
			c.addf(path+".versions", "the pipeline has no versions")
		}
		versions, names := map[api.VersionName]bool{}, map[string]bool{}
		for j, version := range pipeline.Versions {
			versionPath := fmt.Sprintf("%s.versions[%d]", path, j)
			c.name(versionPath+".name", string(version.Name))
			c.unique(versionPath+".name", string(version.Name), names)
			c.stages(versionPath+".stages", version.Stages, groups)
			versions[version.Name] = true
		}
		declared[pipeline.Name] = versions
	}
	return declared
}

func (c *checker) stages(path string, stages []Stage, groups map[api.GroupName]GroupKind) {
	if len(stages) == 0 || len(stages) > maxStages {
		c.addf(path, "a version must have 1 to %d stages, but has %d", maxStages, len(stages))
	}
	seen := map[string]bool{}
	encoded, retrieved := false, false
	for i, stage := range stages {
		stagePath := fmt.Sprintf("%s[%d]", path, i)
		c.name(stagePath+".name", string(stage.Name))
		c.unique(stagePath+".name", string(stage.Name), seen)
		c.stage(stagePath, stage, groups)
		switch stage.Kind {
		case StageEncode:
			encoded = true
		case StageRetrieve:
			if !encoded {
				c.addf(stagePath, "a retrieve stage requires an earlier encode stage")
			}
			retrieved = true
		case StageRerank:
			if !retrieved {
				c.addf(stagePath, "a rerank stage requires an earlier retrieve stage")
			}
		}
	}
}

func (c *checker) stage(path string, stage Stage, groups map[api.GroupName]GroupKind) {
	requiredKind, known := requiredGroupKinds[stage.Kind]
	if !known {
		c.addf(path+".kind", "%q is not one of encode, retrieve, rerank and generate", stage.Kind)
	}
	kind, declared := groups[stage.Group]
	switch {
	case !declared:
		c.addf(path+".group", "group %q is not declared", stage.Group)
	case known && kind != requiredKind:
		c.addf(path+".group", "group %q is of kind %q, but a %s stage requires kind %q", stage.Group, kind, stage.Kind, requiredKind)
	}
	c.number(path+".top_k", float64(stage.TopK), 0, 10_000)
	c.number(path+".max_tokens", float64(stage.MaxTokens), 0, 1_000_000)
}

func (c *checker) services(services []Service, groups map[api.GroupName]GroupKind) map[api.ServiceName]bool {
	serviceNames, seen := map[api.ServiceName]bool{}, map[string]bool{}
	for i, service := range services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", string(service.Name))
		c.unique(path+".name", string(service.Name), seen)
		kind, declared := groups[service.Group]
		switch {
		case !declared:
			c.addf(path+".group", "group %q is not declared", service.Group)
		case kind != GroupHTTP:
			c.addf(path+".group", "group %q is of kind %q, but a service requires kind %q", service.Group, kind, GroupHTTP)
		}
		names := map[string]bool{}
		for j, call := range service.Calls {
			callPath := fmt.Sprintf("%s.calls[%d]", path, j)
			c.name(callPath+".name", string(call.Name))
			c.unique(callPath+".name", string(call.Name), names)
			c.call(callPath, call)
		}
		serviceNames[service.Name] = true
	}
	return serviceNames
}

func (c *checker) call(path string, call Call) {
	switch call.Method {
	case "GET", "POST", "PUT", "DELETE":
	default:
		c.addf(path+".method", "%q is not one of GET, POST, PUT and DELETE", call.Method)
	}
	if !strings.HasPrefix(call.Path, "/") || strings.ContainsAny(call.Path, " ?#\r\n\t") {
		c.addf(path+".path", "%q is not an absolute URL path", call.Path)
	}
	c.number(path+".deadline_ms", float64(call.Deadline), 1, float64(maxDeadline))
}

func (c *checker) workspaces(workspaces []Workspace, pipelines map[api.PipelineName]map[api.VersionName]bool, services map[api.ServiceName]bool) {
	seen := map[string]bool{}
	for i, workspace := range workspaces {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(path+".name", string(workspace.Name))
		c.unique(path+".name", string(workspace.Name), seen)
		for j, hash := range workspace.CredentialHashes {
			if raw, err := hex.DecodeString(hash); err != nil || len(raw) != 32 {
				c.addf(fmt.Sprintf("%s.credential_hashes[%d]", path, j), "not a hex SHA-256 digest")
			}
		}
		c.number(path+".weight", workspace.Weight, 0, 1000)
		c.number(path+".requests_per_second", workspace.RequestsPerSecond, 0, 1e6)
		c.number(path+".burst", workspace.Burst, 0, 1e6)
		c.serves(path, workspace.Serves, pipelines)
		for j, service := range workspace.Services {
			if !services[service] {
				c.addf(fmt.Sprintf("%s.services[%d]", path, j), "service %q is not declared", service)
			}
		}
	}
}

func (c *checker) serves(path string, serves []PipelineVersion, pipelines map[api.PipelineName]map[api.VersionName]bool) {
	seen := map[string]bool{}
	for i, serve := range serves {
		servePath := fmt.Sprintf("%s.serves[%d]", path, i)
		c.unique(servePath+".pipeline", string(serve.Pipeline), seen)
		versions, declared := pipelines[serve.Pipeline]
		switch {
		case !declared:
			c.addf(servePath+".pipeline", "pipeline %q is not declared", serve.Pipeline)
		case !versions[serve.Version]:
			c.addf(servePath+".version", "pipeline %q has no version %q", serve.Pipeline, serve.Version)
		}
	}
}

func (c *checker) operators(operators []Operator) {
	seen := map[string]bool{}
	for i, operator := range operators {
		path := fmt.Sprintf("operators[%d]", i)
		c.name(path+".name", operator.Name)
		c.unique(path+".name", operator.Name, seen)
		if !strings.HasPrefix(operator.PasswordHash, "$2") {
			c.addf(path+".password_hash", "not a bcrypt hash")
		}
		if operator.Role != RoleViewer && operator.Role != RoleEditor {
			c.addf(path+".role", "%q is not one of %q and %q", operator.Role, RoleViewer, RoleEditor)
		}
	}
}
