package console

import (
	"fmt"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"redwingloft/pkg/api"
)

// fieldKind is the type of input element for a field.
type fieldKind string

// Kinds of fields. The templates compare their values.
const (
	fieldText     fieldKind = "text"
	fieldNumber   fieldKind = "number"
	fieldArea     fieldKind = "area"
	fieldSelect   fieldKind = "select"
	fieldCheck    fieldKind = "check"
	fieldChoices  fieldKind = "choices"
	fieldPassword fieldKind = "password"
	fieldFile     fieldKind = "file"
	// fieldFixed is shown as text and can't be changed.
	fieldFixed fieldKind = "fixed"
)

// field is a field of a form. Its key is the path within the edited element, which maps the
// faults of a document to fields.
type field struct {
	Key     string
	Label   string
	Help    string
	Kind    fieldKind
	Options []string
	// Required only marks the label; the validation of the document enforces it.
	Required bool
	// custom is set if the form decodes the field itself, not by its key.
	custom bool
}

// rowSet describes a list in the edited element, which is shown as rows of fields.
type rowSet struct {
	// Key is the path of the list in the element; its last part names the list.
	Key     string
	Label   string
	Item    string
	Columns []field
	// Ordered is set if the rows have an editable position by which they are sorted.
	Ordered bool
}

// layout describes the fields and rows of a form.
type layout struct {
	Fields []field
	Rows   *rowSet
}

// Keys of the row fields that are not columns, and limits of the number of rows.
const (
	positionKey = "position"
	removeKey   = "remove_row"
	// spareRows is the number of blank rows that a form offers.
	spareRows = 1
	// maxRows is the maximum number of rows in a form.
	maxRows = 5000
)

var rowPattern = regexp.MustCompile(`^(.+)\[(\d{1,6})\]\.([a-z_]+)$`)

// row is a submitted row.
type row struct {
	number   int
	position float64
	values   map[string][]string
}

// readRows returns the submitted rows of a set in order, without removed and blank rows.
func readRows(values url.Values, set *rowSet) []row {
	byNumber := map[int]*row{}
	for key, value := range values {
		match := rowPattern.FindStringSubmatch(key)
		if match == nil || match[1] != set.Key {
			continue
		}
		number, _ := strconv.Atoi(match[2]) // the pattern matches only digits
		if byNumber[number] == nil {
			byNumber[number] = &row{number: number, position: float64(number + 1), values: map[string][]string{}}
		}
		byNumber[number].values[match[3]] = value
	}
	var rows []row
	for _, r := range byNumber {
		if position, err := strconv.ParseFloat(firstValue(r.values[positionKey]), 64); err == nil {
			r.position = position
		}
		if firstValue(r.values[removeKey]) == "" && !r.isBlank(set) {
			rows = append(rows, *r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if a.position != b.position && set.Ordered {
			return compareFloat(a.position, b.position)
		}
		return a.number - b.number
	})
	return rows[:min(len(rows), maxRows)]
}

func compareFloat(a, b float64) int {
	if a < b {
		return -1
	}
	return 1
}

// isBlank reports whether nothing was entered. Selects and checkboxes are ignored because
// they always have a value.
func (r row) isBlank(set *rowSet) bool {
	for _, column := range set.Columns {
		if column.Kind != fieldSelect && column.Kind != fieldCheck && strings.TrimSpace(firstValue(r.values[column.Key])) != "" {
			return false
		}
	}
	return true
}

func firstValue(values []string) string {
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// renumberRows renumbers the rows of a submitted form, so that the numbers in its keys match
// the decoded list, and returns the number of rows.
func renumberRows(values url.Values, set *rowSet) int {
	if set == nil {
		return 0
	}
	rows := readRows(values, set)
	for key := range values {
		if match := rowPattern.FindStringSubmatch(key); match != nil && match[1] == set.Key {
			delete(values, key)
		}
	}
	for i, r := range rows {
		for name, value := range r.values {
			if name != positionKey && name != removeKey {
				values[rowKey(set, i, name)] = value
			}
		}
	}
	return len(rows)
}

func (s *rowSet) listValue(element reflect.Value) reflect.Value {
	return fieldByName(element, s.Key[strings.LastIndex(s.Key, ".")+1:])
}

func rowKey(set *rowSet, i int, name string) string {
	return fmt.Sprintf("%s[%d].%s", set.Key, i, name)
}

// fillValues returns the form values of an element.
func fillValues(l layout, element reflect.Value) url.Values {
	values := url.Values{}
	for _, f := range l.Fields {
		if !f.custom {
			encodeField(values, f, f.Key, element)
		}
	}
	if l.Rows != nil {
		list := l.Rows.listValue(element)
		for i := range list.Len() {
			for _, column := range l.Rows.Columns {
				encodeField(values, column, rowKey(l.Rows, i, column.Key), list.Index(i))
			}
		}
	}
	return values
}

func encodeField(values url.Values, f field, key string, element reflect.Value) {
	v := fieldByName(element, f.Key)
	switch {
	case v.Kind() == reflect.Bool && !v.Bool():
	case v.Kind() == reflect.Bool:
		values.Set(key, "on")
	case v.Kind() == reflect.Slice:
		for i := range v.Len() {
			values.Add(key, v.Index(i).String())
		}
	case v.Kind() != reflect.String && v.IsZero() && !f.Required:
	default:
		values.Set(key, fmt.Sprint(v.Interface()))
	}
}

// decodeValues decodes a form with renumbered rows into an element. It returns faults for
// the fields that can't be parsed, with paths relative to the element.
func decodeValues(l layout, values url.Values, rows int, element reflect.Value) []api.Fault {
	var faults []api.Fault
	for _, f := range l.Fields {
		if !f.custom {
			faults = append(faults, decodeField(f, f.Key, values, element)...)
		}
	}
	if l.Rows == nil {
		return faults
	}
	list := l.Rows.listValue(element)
	list.Set(reflect.MakeSlice(list.Type(), rows, rows))
	for i := range rows {
		for _, column := range l.Rows.Columns {
			faults = append(faults, decodeField(column, rowKey(l.Rows, i, column.Key), values, list.Index(i))...)
		}
	}
	return faults
}

func decodeField(f field, key string, values url.Values, element reflect.Value) []api.Fault {
	if f.Kind == fieldFixed {
		return nil
	}
	target := fieldByName(element, f.Key)
	text := strings.TrimSpace(values.Get(key))
	switch target.Kind() {
	case reflect.String:
		if f.Kind == fieldArea {
			// Browsers send line breaks as CR LF.
			text = strings.ReplaceAll(values.Get(key), "\r\n", "\n")
		}
		target.SetString(text)
	case reflect.Bool:
		target.SetBool(text != "")
	case reflect.Slice:
		target.Set(reflect.MakeSlice(target.Type(), 0, len(values[key])))
		for _, value := range values[key] {
			target.Set(reflect.Append(target, reflect.ValueOf(value).Convert(target.Type().Elem())))
		}
	default:
		return decodeNumber(key, text, target)
	}
	return nil
}

func decodeNumber(key, text string, target reflect.Value) []api.Fault {
	if text == "" {
		target.SetZero()
		return nil
	}
	if target.CanInt() {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil || target.OverflowInt(value) {
			return []api.Fault{{Path: key, Message: fmt.Sprintf("%q is not a whole number", text)}}
		}
		target.SetInt(value)
		return nil
	}
	value, err := strconv.ParseFloat(text, 64)
	// Infinity and NaN can't be represented in the JSON document.
	if err != nil || value-value != 0 {
		return []api.Fault{{Path: key, Message: fmt.Sprintf("%q is not a number", text)}}
	}
	target.SetFloat(value)
	return nil
}

// fieldByName returns the struct field with the given JSON name. A dot in the name separates
// the names of nested structs.
func fieldByName(element reflect.Value, name string) reflect.Value {
	head, rest, nested := strings.Cut(name, ".")
	for i := range element.NumField() {
		tag, _, _ := strings.Cut(element.Type().Field(i).Tag.Get("json"), ",")
		if tag != head {
			continue
		}
		if nested {
			return fieldByName(element.Field(i), rest)
		}
		return element.Field(i)
	}
	panic("no field " + name + " in " + element.Type().String())
}
