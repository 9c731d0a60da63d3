package console

import (
	"crypto/rand"
	"fmt"
	"net/url"
	"reflect"
	"slices"
	"strings"

	"redwingloft/internal/data/document"
	"redwingloft/internal/helper/secret"
	"redwingloft/pkg/api"
)

// nameHelp is the help text of fields for names.
const nameHelp = "Lower-case letters, digits, '.', '_' and '-'."

// forms returns all forms of the console.
func (h *Handler) forms() []*form {
	return []*form{
		pipelineForm(), versionForm(), groupForm(), serviceForm(), workspaceForm(), operatorForm(), siteForm(),
		servingForm(), documentForm(), h.restoreForm(),
	}
}

// nameField returns the field for the name, which is editable only for a new element
// because other parts of the document refer to names.
func nameField(values url.Values) field {
	if values.Get(keyItem) != "" {
		return field{Key: "name", Label: "Name", Kind: fieldFixed}
	}
	return field{Key: "name", Label: "Name", Help: nameHelp, Kind: fieldText, Required: true}
}

func pipelineName(p document.Pipeline) string   { return string(p.Name) }
func versionName(v document.Version) string     { return string(v.Name) }
func groupName(g document.Group) string         { return string(g.Name) }
func serviceName(s document.Service) string     { return string(s.Name) }
func workspaceName(w document.Workspace) string { return string(w.Name) }
func operatorName(o document.Operator) string   { return o.Name }

// names returns the names of the elements for which keep is nil or returns true.
func names[T any](list []T, name func(T) string, keep func(T) bool) []string {
	var all []string
	for _, candidate := range list {
		if keep == nil || keep(candidate) {
			all = append(all, name(candidate))
		}
	}
	return all
}

// Keys of the first version in the form for a new pipeline.
const (
	keyFirstVersion = "versions[0].name"
	keyFirstStages  = "versions[0].stages"
)

func pipelineForm() *form {
	pipelineLayout := func(_ *document.Document, values url.Values) layout {
		return layout{Fields: []field{
			nameField(values),
			{Key: "deadline_ms", Label: "Deadline (ms)", Help: "For requests without a deadline; longer deadlines are reduced to it.", Kind: fieldNumber, Required: true},
		}}
	}
	return &form{
		path: "/pipelines/edit", title: "Pipeline", listPath: "/pipelines", hasPage: true, removable: true,
		layout: func(doc *document.Document, values url.Values) layout {
			l := pipelineLayout(doc, values)
			if values.Get(keyItem) == "" {
				l.Fields = append(l.Fields, field{Key: keyFirstVersion, Label: "Name of the first version", Help: nameHelp, Kind: fieldText, Required: true, custom: true})
				l.Rows = stageRows(doc)
				l.Rows.Key = keyFirstStages
			}
			return l
		},
		fill: func(doc *document.Document, query url.Values) (url.Values, bool) {
			item := query.Get("name")
			l := pipelineLayout(doc, url.Values{keyItem: {item}})
			return fillElement(doc.Pipelines, pipelineName, item, l, document.Pipeline{Deadline: 7000})
		},
		apply: func(_ *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult {
			rows := l.Rows
			l.Rows = nil
			result := editElement(&doc.Pipelines, pipelineName, "pipelines", values, l)
			if values.Get(keyItem) != "" {
				return result
			}
			version := document.Version{Name: api.VersionName(strings.TrimSpace(values.Get(keyFirstVersion)))}
			result.faults = append(result.faults, decodeValues(layout{Rows: rows}, values, len(readRows(values, rows)), reflect.ValueOf(&version).Elem())...)
			doc.Pipelines[len(doc.Pipelines)-1].Versions = []document.Version{version}
			return result
		},
	}
}

func stageRows(doc *document.Document) *rowSet {
	groups := names(doc.Groups, groupName, func(g document.Group) bool { return g.Kind != document.GroupHTTP })
	return &rowSet{Key: "stages", Label: "Stages", Item: "Stage", Ordered: true, Columns: []field{
		{Key: "name", Label: "Name", Kind: fieldText, Required: true},
		{Key: "kind", Label: "Kind", Kind: fieldSelect, Options: []string{"encode", "retrieve", "rerank", "generate"}},
		{Key: "group", Label: "Upstream group", Kind: fieldSelect, Options: groups},
		{Key: "model", Label: "Model", Kind: fieldText},
		{Key: "collection", Label: "Collection (retrieve)", Kind: fieldText},
		{Key: "top_k", Label: "Documents to keep", Kind: fieldNumber},
		{Key: "max_tokens", Label: "Maximum tokens", Kind: fieldNumber},
		{Key: "prompt", Label: "System message", Kind: fieldArea},
	}}
}

// keyPipeline names the pipeline to which the version of a form belongs.
const keyPipeline = "pipeline"

func findPipeline(doc *document.Document, name string) *document.Pipeline {
	i := slices.IndexFunc(doc.Pipelines, func(p document.Pipeline) bool { return string(p.Name) == name })
	if i < 0 {
		return nil
	}
	return &doc.Pipelines[i]
}

func versionForm() *form {
	versionLayout := func(doc *document.Document, values url.Values) layout {
		return layout{Fields: []field{nameField(values)}, Rows: stageRows(doc)}
	}
	return &form{
		path: "/versions/edit", title: "Version", listPath: "/pipelines", hasPage: true, removable: true, layout: versionLayout,
		fill: func(doc *document.Document, query url.Values) (url.Values, bool) {
			pipeline := findPipeline(doc, query.Get(keyPipeline))
			if pipeline == nil {
				return nil, false
			}
			item, source := query.Get("name"), query.Get("copy")
			l := versionLayout(doc, url.Values{keyItem: {item}})
			if source != "" {
				item = source
			}
			values, found := fillElement(pipeline.Versions, versionName, item, l, document.Version{})
			if found && source != "" {
				values.Del(keyItem)
				values.Del("name")
			}
			if found {
				values.Set(keyPipeline, query.Get(keyPipeline))
			}
			return values, found
		},
		apply: func(_ *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult {
			pipeline := findPipeline(doc, values.Get(keyPipeline))
			if pipeline == nil {
				return applyResult{faults: []api.Fault{{Path: "pipelines", Message: "the pipeline does not exist in the base revision"}}}
			}
			i := slices.IndexFunc(doc.Pipelines, func(p document.Pipeline) bool { return p.Name == pipeline.Name })
			return editElement(&pipeline.Versions, versionName, fmt.Sprintf("pipelines[%d].versions", i), values, l)
		},
	}
}

func groupForm() *form {
	groupLayout := func(_ *document.Document, values url.Values) layout {
		return layout{
			Fields: []field{
				nameField(values),
				{Key: "kind", Label: "Kind", Kind: fieldSelect, Options: []string{"chat", "embedding", "search", "rerank", "http"}},
				{Key: "fencing", Label: "Fencing numbers", Help: "Choose checked only where every upstream refuses old fencing numbers.", Kind: fieldSelect, Options: []string{"", "ignored", "checked"}},
				{Key: "cost_per_second", Label: "Cost per second", Kind: fieldNumber},
				{Key: "cost_per_thousand_tokens", Label: "Cost per thousand tokens", Kind: fieldNumber},
			},
			Rows: &rowSet{Key: "upstreams", Label: "Upstreams", Item: "Upstream", Columns: []field{
				{Key: "id", Label: "Id", Kind: fieldText, Required: true},
				{Key: "address", Label: "Address (ip:port)", Kind: fieldText, Required: true},
				{Key: "data_centre", Label: "Data centre", Kind: fieldText, Required: true},
				{Key: "slots", Label: "Slots", Kind: fieldNumber, Required: true},
			}},
		}
	}
	return &form{
		path: "/groups/edit", title: "Upstream group", listPath: "/groups", hasPage: true, removable: true, layout: groupLayout,
		fill: func(doc *document.Document, query url.Values) (url.Values, bool) {
			item := query.Get("name")
			return fillElement(doc.Groups, groupName, item, groupLayout(doc, url.Values{keyItem: {item}}), document.Group{})
		},
		apply: func(_ *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult {
			return editElement(&doc.Groups, groupName, "groups", values, l)
		},
	}
}

func serviceForm() *form {
	serviceLayout := func(doc *document.Document, values url.Values) layout {
		groups := names(doc.Groups, groupName, func(g document.Group) bool { return g.Kind == document.GroupHTTP })
		return layout{
			Fields: []field{nameField(values), {Key: "group", Label: "Upstream group", Kind: fieldSelect, Options: groups}},
			Rows: &rowSet{Key: "calls", Label: "Calls", Item: "Call", Columns: []field{
				{Key: "name", Label: "Name", Kind: fieldText, Required: true},
				{Key: "method", Label: "Method", Kind: fieldSelect, Options: []string{"GET", "POST", "PUT", "DELETE"}},
				{Key: "path", Label: "Path", Kind: fieldText, Required: true},
				{Key: "deadline_ms", Label: "Deadline (ms)", Kind: fieldNumber, Required: true},
				{Key: "repeatable", Label: "May be repeated", Help: "Leave this off for bookings, payments and dispatch orders: each then runs at most once.", Kind: fieldCheck},
			}},
		}
	}
	return &form{
		path: "/services/edit", title: "Service", listPath: "/services", hasPage: true, removable: true, layout: serviceLayout,
		fill: func(doc *document.Document, query url.Values) (url.Values, bool) {
			item := query.Get("name")
			return fillElement(doc.Services, serviceName, item, serviceLayout(doc, url.Values{keyItem: {item}}), document.Service{})
		},
		apply: func(_ *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult {
			return editElement(&doc.Services, serviceName, "services", values, l)
		},
	}
}

// Keys of the credential fields in the workspace form.
const (
	keyNewCredential   = "new_credential"
	keyDropCredentials = "drop_credentials"
	// fingerprintLength is the number of hex digits that identify a credential on a page.
	fingerprintLength = 8
)

func servesKey(pipeline string) string { return "serves[" + pipeline + "]" }

func workspaceForm() *form {
	return &form{
		path: "/workspaces/edit", title: "Workspace", listPath: "/workspaces", hasPage: true, removable: true, layout: workspaceLayout,
		fill: func(doc *document.Document, query url.Values) (url.Values, bool) {
			item := query.Get("name")
			l := workspaceLayout(doc, url.Values{keyItem: {item}})
			values, found := fillElement(doc.Workspaces, workspaceName, item, l, document.Workspace{})
			if !found {
				return nil, false
			}
			if item == "" {
				values.Set(keyNewCredential, "on")
				return values, true
			}
			for _, serve := range findWorkspace(doc, item).Serves {
				values.Set(servesKey(string(serve.Pipeline)), string(serve.Version))
			}
			return values, true
		},
		apply: applyWorkspace,
	}
}

func findWorkspace(doc *document.Document, name string) *document.Workspace {
	i := slices.IndexFunc(doc.Workspaces, func(w document.Workspace) bool { return string(w.Name) == name })
	if i < 0 {
		return nil
	}
	return &doc.Workspaces[i]
}

func workspaceLayout(doc *document.Document, values url.Values) layout {
	fields := []field{
		nameField(values),
		{Key: "requests_per_second", Label: "Requests per second", Help: "Over all hosts together; empty means no limit.", Kind: fieldNumber},
		{Key: "burst", Label: "Burst", Help: "Requests admitted at once above the rate; empty means one second's worth.", Kind: fieldNumber},
		{Key: "weight", Label: "Weight", Help: "Share of a contended queue; empty means 1.", Kind: fieldNumber},
	}
	for _, pipeline := range doc.Pipelines {
		options := append([]string{""}, names(pipeline.Versions, versionName, nil)...)
		fields = append(fields, field{Key: servesKey(string(pipeline.Name)), Label: "Version of " + string(pipeline.Name), Kind: fieldSelect, Options: options, custom: true})
	}
	fields = append(
		fields,
		field{Key: "services", Label: "Services it may call", Kind: fieldChoices, Options: names(doc.Services, serviceName, nil)},
		field{Key: keyNewCredential, Label: "Generate a new credential", Help: "It is shown once, after the commit. Only its hash is stored.", Kind: fieldCheck, custom: true},
	)
	if workspace := findWorkspace(doc, values.Get(keyItem)); workspace != nil && len(workspace.CredentialHashes) > 0 {
		var fingerprints []string
		for _, hash := range workspace.CredentialHashes {
			fingerprints = append(fingerprints, fingerprint(hash))
		}
		fields = append(fields, field{Key: keyDropCredentials, Label: "Revoke credentials", Help: "Identified by the first digits of their hash.", Kind: fieldChoices, Options: fingerprints, custom: true})
	}
	return layout{Fields: fields}
}

func fingerprint(hash string) string { return hash[:min(len(hash), fingerprintLength)] }

func applyWorkspace(_ *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult {
	pipelines := names(doc.Pipelines, pipelineName, nil)
	result := editElement(&doc.Workspaces, workspaceName, "workspaces", values, l)
	if result.prefix == "" {
		return result
	}
	workspace := &doc.Workspaces[len(doc.Workspaces)-1]
	if item := values.Get(keyItem); item != "" {
		workspace = findWorkspace(doc, item)
	}
	for _, pipeline := range pipelines {
		setVersion(workspace, pipeline, values.Get(servesKey(pipeline)))
	}
	drop := values[keyDropCredentials]
	workspace.CredentialHashes = slices.DeleteFunc(workspace.CredentialHashes, func(hash string) bool {
		return slices.Contains(drop, fingerprint(hash))
	})
	if values.Get(keyNewCredential) != "" {
		result.credential = rand.Text()
		workspace.CredentialHashes = append(workspace.CredentialHashes, secret.HashToken(result.credential))
	}
	return result
}

// setVersion sets the version of a pipeline that serves a workspace. An empty version
// removes the pipeline from the workspace.
func setVersion(workspace *document.Workspace, pipeline, version string) {
	i := slices.IndexFunc(workspace.Serves, func(s document.PipelineVersion) bool { return string(s.Pipeline) == pipeline })
	switch {
	case version == "" && i >= 0:
		workspace.Serves = slices.Delete(workspace.Serves, i, i+1)
	case version == "":
	case i >= 0:
		workspace.Serves[i].Version = api.VersionName(version)
	default:
		workspace.Serves = append(workspace.Serves, document.PipelineVersion{Pipeline: api.PipelineName(pipeline), Version: api.VersionName(version)})
	}
}

// Keys of the operator form, and limits of passwords in bytes.
const (
	keyPassword     = "password"
	keyPasswordHash = "password_hash"
	minPassword     = 12
	// maxPassword is the maximum length in bytes of a password that bcrypt accepts.
	maxPassword = 72
)

func operatorForm() *form {
	operatorLayout := func(_ *document.Document, values url.Values) layout {
		help := fmt.Sprintf("At least %d characters.", minPassword)
		if values.Get(keyItem) != "" || values.Get(keyPasswordHash) != "" {
			help += " Leave it empty to keep the current one."
		}
		return layout{Fields: []field{
			nameField(values),
			{Key: "role", Label: "Role", Help: "Viewers can see everything except hashes and can't change anything.", Kind: fieldSelect, Options: []string{"viewer", "editor"}},
			{Key: keyPassword, Label: "New password", Help: help, Kind: fieldPassword, custom: true},
		}}
	}
	return &form{
		path: "/operators/edit", title: "Operator", listPath: "/operators", hasPage: true, removable: true, layout: operatorLayout,
		fill: func(doc *document.Document, query url.Values) (url.Values, bool) {
			item := query.Get("name")
			return fillElement(doc.Operators, operatorName, item, operatorLayout(doc, url.Values{keyItem: {item}}), document.Operator{Role: document.RoleViewer})
		},
		apply: applyOperator,
	}
}

func applyOperator(_ *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult {
	result := editElement(&doc.Operators, operatorName, "operators", values, l)
	if result.prefix == "" {
		return result
	}
	result.faults = append(result.faults, hashPassword(values)...)
	hash := values.Get(keyPasswordHash)
	if hash == "" {
		return result
	}
	i := slices.IndexFunc(doc.Operators, func(candidate document.Operator) bool { return candidate.Name == values.Get(keyItem) })
	if i < 0 {
		i = len(doc.Operators) - 1
	}
	doc.Operators[i].PasswordHash = hash
	return result
}

// hashPassword replaces an entered password by its hash, so that the review page contains
// the hash and never the password.
func hashPassword(values url.Values) []api.Fault {
	password := values.Get(keyPassword)
	values.Del(keyPassword)
	missing := values.Get(keyItem) == "" && values.Get(keyPasswordHash) == ""
	if password == "" && !missing {
		return nil
	}
	if password == "" {
		return passwordFaults("a new operator needs a password", missing)
	}
	if len(password) < minPassword || len(password) > maxPassword {
		return passwordFaults(fmt.Sprintf("a password has %d to %d bytes", minPassword, maxPassword), missing)
	}
	hash, err := secret.HashPassword(password)
	if err != nil {
		return passwordFaults("the password can't be hashed", missing)
	}
	values.Set(keyPasswordHash, hash)
	return nil
}

// passwordFaults returns a fault for the password field and, if the hash is missing, one
// that replaces the document's fault that the hash is not a bcrypt hash.
func passwordFaults(message string, missing bool) []api.Fault {
	faults := []api.Fault{{Path: keyPassword, Message: message}}
	if missing {
		faults = append(faults, api.Fault{Path: keyPasswordHash, Message: "it is missing"})
	}
	return faults
}

func siteForm() *form {
	siteLayout := func(*document.Document, url.Values) layout {
		return layout{Fields: []field{
			{Key: "deployment", Label: "Deployment", Help: nameHelp, Kind: fieldText, Required: true},
			{Key: "weights.attainment", Label: "Weight of attainment", Help: "Between 0 and 1.", Kind: fieldNumber, Required: true},
			{Key: "weights.cost", Label: "Weight of cost", Help: "Between 0 and 1.", Kind: fieldNumber, Required: true},
			{Key: "limits.queue_length", Label: "Queued requests per host", Help: "Empty means 1000.", Kind: fieldNumber},
			{Key: "limits.body_bytes", Label: "Maximum bytes of a request body", Help: "Empty means 4194304.", Kind: fieldNumber},
			{Key: "limits.retry_share", Label: "Retries and hedges as a share of requests", Help: "Between 0 and 1; empty means 0.1.", Kind: fieldNumber},
		}}
	}
	return &form{
		path: "/site", title: "Site", listPath: "/site", hasPage: true, layout: siteLayout,
		fill: func(doc *document.Document, _ url.Values) (url.Values, bool) {
			return fillValues(siteLayout(doc, nil), reflect.ValueOf(doc).Elem()), true
		},
		apply: func(_ *operatorRequest, doc *document.Document, values url.Values, l layout) applyResult {
			return applyResult{faults: decodeValues(l, values, 0, reflect.ValueOf(doc).Elem())}
		},
	}
}
