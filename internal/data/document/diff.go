package document

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// ChangeKind is the type of a change.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded    ChangeKind = "added"
	ChangeRemoved  ChangeKind = "removed"
	ChangeModified ChangeKind = "changed"
)

// hiddenFields are the JSON names of fields whose values are omitted from the output.
var hiddenFields = map[string]bool{"credential_hashes": true, "password_hash": true}

// Change is one difference between two documents.
type Change struct {
	// Path is the location of the change by element names, such as "workspaces[arima].serves[visit-plan].version".
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old and New are the values formatted for display. Both are empty for changed hashes.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`

	steps []step
	// value is the new value; it is unset for removed elements.
	value reflect.Value
	// reordered is true if only the order of the stages changed.
	reordered bool
}

// String formats the change as a single line.
func (c Change) String() string {
	switch {
	case c.Kind == ChangeAdded:
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.Kind == ChangeRemoved:
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	case c.Old == "" && c.New == "":
		return fmt.Sprintf("~ %s: changed", c.Path)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// step is one component of a path: a field or a list element.
type step struct {
	name    string
	element bool
}

func joinPath(steps []step) string {
	var path strings.Builder
	for _, s := range steps {
		switch {
		case s.element:
			path.WriteString("[" + s.name + "]")
		case path.Len() > 0:
			path.WriteString("." + s.name)
		default:
			path.WriteString(s.name)
		}
	}
	return path.String()
}

// Diff returns the changes that turn a into b. List elements are matched by name, and
// order is ignored except for stages. A nil document is treated as empty.
func Diff(a, b *Document) []Change {
	d := &differ{}
	d.compare(nil, reflect.ValueOf(orEmpty(a)).Elem(), reflect.ValueOf(orEmpty(b)).Elem())
	return d.changes
}

func orEmpty(doc *Document) *Document {
	if doc == nil {
		return &Document{}
	}
	return doc
}

type differ struct {
	changes []Change
}

func (d *differ) add(kind ChangeKind, steps []step, before, after reflect.Value) {
	c := Change{Kind: kind, Path: joinPath(steps), steps: slices.Clone(steps), value: after}
	hidden := hiddenFields[steps[len(steps)-1].name]
	if before.IsValid() && !hidden {
		c.Old = describeValue(before)
	}
	if after.IsValid() && !hidden {
		c.New = describeValue(after)
	}
	d.changes = append(d.changes, c)
}

func (d *differ) compare(steps []step, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			d.compare(append(steps, step{name: jsonName(a.Type().Field(i))}), a.Field(i), b.Field(i))
		}
	case reflect.Slice:
		if hiddenFields[steps[len(steps)-1].name] {
			d.compareHidden(steps, a, b)
			return
		}
		d.compareList(steps, a, b)
	default:
		if !a.Equal(b) {
			d.add(ChangeModified, steps, a, b)
		}
	}
}

func (d *differ) compareHidden(steps []step, a, b reflect.Value) {
	if !slices.Equal(a.Interface().([]string), b.Interface().([]string)) {
		d.add(ChangeModified, steps, a, b)
	}
}

func (d *differ) compareList(steps []step, a, b reflect.Value) {
	before, after := elementKeys(a), elementKeys(b)
	beforeIndex, afterIndex := indexOf(before), indexOf(after)
	if len(beforeIndex) < len(before) || len(afterIndex) < len(after) {
		// Elements can't be matched by duplicate names, which Validate rejects.
		if !equalValues(a, b) {
			d.add(ChangeModified, steps, a, b)
		}
		return
	}
	var expected []string
	for i, key := range before {
		elementPath := append(steps, step{name: key, element: true})
		j, found := afterIndex[key]
		if !found {
			d.add(ChangeRemoved, elementPath, a.Index(i), reflect.Value{})
			continue
		}
		expected = append(expected, key)
		if a.Type().Elem().Kind() == reflect.Struct {
			d.compare(elementPath, a.Index(i), b.Index(j))
		}
	}
	for j, key := range after {
		if _, existed := beforeIndex[key]; !existed {
			d.add(ChangeAdded, append(steps, step{name: key, element: true}), reflect.Value{}, b.Index(j))
			expected = append(expected, key)
		}
	}
	if a.Type().Elem() == reflect.TypeFor[Stage]() && !slices.Equal(expected, after) {
		d.changes = append(d.changes, Change{
			Path: joinPath(steps), Kind: ChangeModified, steps: slices.Clone(steps), value: b,
			Old: strings.Join(before, ", "), New: strings.Join(after, ", "), reordered: true,
		})
	}
}

func indexOf(keys []string) map[string]int {
	index := make(map[string]int, len(keys))
	for i, key := range keys {
		index[key] = i
	}
	return index
}

// equalValues reports whether two values of the same type are equal. Unlike
// reflect.DeepEqual, it treats nil and empty slices as equal.
func equalValues(a, b reflect.Value) bool {
	if a.Kind() != reflect.Slice {
		d := &differ{}
		d.compare([]step{{}}, a, b)
		return len(d.changes) == 0
	}
	if a.Len() != b.Len() {
		return false
	}
	for i := range a.Len() {
		if !equalValues(a.Index(i), b.Index(i)) {
			return false
		}
	}
	return true
}

// elementKeys returns the name of each element.
func elementKeys(list reflect.Value) []string {
	keys := make([]string, list.Len())
	for i := range list.Len() {
		keys[i] = elementName(list.Index(i))
	}
	return keys
}

// elementName returns the first field of a struct, which is the name in all element
// types, or the value of a string element.
func elementName(element reflect.Value) string {
	if element.Kind() == reflect.Struct {
		return element.Field(0).String()
	}
	return element.String()
}

func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// describeValue formats a value as a single line and omits zero-valued fields.
func describeValue(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Struct:
		return describeStruct(v)
	case v.Kind() == reflect.Slice:
		parts := make([]string, v.Len())
		for i := range v.Len() {
			parts[i] = describeElement(v.Index(i))
		}
		return "[" + strings.Join(parts, ", ") + "]"
	case v.Kind() == reflect.String:
		return fmt.Sprintf("%q", v.String())
	default:
		return fmt.Sprint(v.Interface())
	}
}

func describeStruct(v reflect.Value) string {
	var parts []string
	for i := range v.NumField() {
		name := jsonName(v.Type().Field(i))
		empty := v.Field(i).IsZero() || v.Field(i).Kind() == reflect.Slice && v.Field(i).Len() == 0
		if !empty && !hiddenFields[name] {
			parts = append(parts, name+" "+describeValue(v.Field(i)))
		}
	}
	return strings.Join(parts, ", ")
}

func describeElement(v reflect.Value) string {
	if v.Kind() == reflect.Struct {
		return "(" + describeStruct(v) + ")"
	}
	return describeValue(v)
}

// Apply returns a copy of doc with changes from Diff applied. It returns an error if the
// path of a change does not exist in doc.
func Apply(doc *Document, changes []Change) (*Document, error) {
	result := orEmpty(doc).Clone()
	for _, change := range changes {
		if err := applyChange(reflect.ValueOf(result).Elem(), change); err != nil {
			return nil, err
		}
	}
	// Changes refer to memory of the document that they were computed from, so copy the result.
	return result.Clone(), nil
}

func applyChange(root reflect.Value, change Change) error {
	last := change.steps[len(change.steps)-1]
	depth := len(change.steps)
	if last.element && change.Kind != ChangeModified {
		depth--
	}
	target, found := locate(root, change.steps[:depth])
	if !found {
		return fmt.Errorf("%s does not exist", change.Path)
	}
	switch {
	case change.Kind == ChangeAdded:
		target.Set(reflect.Append(target, change.value))
	case change.Kind == ChangeRemoved:
		return removeElement(target, last.name, change.Path)
	case change.reordered:
		return reorder(target, change)
	default:
		target.Set(change.value)
	}
	return nil
}

func locate(v reflect.Value, steps []step) (reflect.Value, bool) {
	for _, s := range steps {
		if s.element {
			i := slices.Index(elementKeys(v), s.name)
			if i < 0 {
				return v, false
			}
			v = v.Index(i)
			continue
		}
		for i := range v.NumField() {
			if jsonName(v.Type().Field(i)) == s.name {
				v = v.Field(i)
				break
			}
		}
	}
	return v, true
}

func removeElement(list reflect.Value, key, path string) error {
	i := slices.Index(elementKeys(list), key)
	if i < 0 {
		return fmt.Errorf("%s does not exist", path)
	}
	list.Set(reflect.AppendSlice(list.Slice3(0, i, i), list.Slice(i+1, list.Len())))
	return nil
}

// reorder sorts the stages of list into the order of change.value.
func reorder(list reflect.Value, change Change) error {
	index := indexOf(elementKeys(list))
	newOrder := elementKeys(change.value)
	if len(newOrder) != len(index) {
		return fmt.Errorf("%s has a different set of stages", change.Path)
	}
	ordered := reflect.MakeSlice(list.Type(), 0, len(newOrder))
	for _, key := range newOrder {
		i, found := index[key]
		if !found {
			return fmt.Errorf("%s has no stage %q", change.Path, key)
		}
		ordered = reflect.Append(ordered, list.Index(i))
	}
	list.Set(ordered)
	return nil
}

// Conflict is a path that two operators changed in different ways.
type Conflict struct {
	Path   string `json:"path"`
	Mine   Change `json:"mine"`
	Theirs Change `json:"theirs"`
}

// Rebase applies the changes from base to mine on top of theirs. A change conflicts if
// theirs has a different change at the same path, above it or below it; identical changes
// don't conflict. Conflicting changes are omitted from the result.
func Rebase(base, mine, theirs *Document) (*Document, []Conflict, error) {
	theirChanges := newChangeIndex(Diff(base, theirs))
	var independent []Change
	var conflicts []Conflict
	for _, change := range Diff(base, mine) {
		overlap, found := theirChanges.overlap(change)
		switch {
		case !found:
			independent = append(independent, change)
		case !sameChange(change, overlap):
			conflicts = append(conflicts, Conflict{Path: change.Path, Mine: change, Theirs: overlap})
		}
	}
	result, err := Apply(theirs, independent)
	return result, conflicts, err
}

func sameChange(a, b Change) bool {
	if a.Path != b.Path || a.Kind != b.Kind {
		return false
	}
	return a.Kind == ChangeRemoved || equalValues(a.value, b.value)
}

// changeIndex looks up changes by path in constant time.
type changeIndex struct {
	exact map[string]Change
	// below maps each proper prefix of a changed path to one of the changes below it.
	below map[string]Change
}

func newChangeIndex(changes []Change) *changeIndex {
	x := &changeIndex{exact: map[string]Change{}, below: map[string]Change{}}
	for _, change := range changes {
		x.exact[change.Path] = change
		for n := 1; n < len(change.steps); n++ {
			x.below[joinPath(change.steps[:n])] = change
		}
	}
	return x
}

func (x *changeIndex) overlap(change Change) (Change, bool) {
	for n := len(change.steps); n >= 1; n-- {
		if found, exists := x.exact[joinPath(change.steps[:n])]; exists {
			return found, true
		}
	}
	found, exists := x.below[change.Path]
	return found, exists
}
