package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
)

// minRenewals is the minimum number of renewals within one lease, so that the
// loss of one message does not end the lease.
const minRenewals = 3

// minMemoryPerMessage is the least ratio of memory and longest message: three copies of one
// message fit into the part of the memory that callers may fill.
const minMemoryPerMessage = 12

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_.-]{0,62}$`)

// rules returns a validator for the rules in the struct tags.
var rules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	register(v, "ipport", func(f validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(f.Field().String())
		return err == nil
	})
	register(v, "name", func(f validator.FieldLevel) bool {
		return namePattern.MatchString(f.Field().String())
	})
	return v
})

func register(v *validator.Validate, tag string, f validator.Func) {
	if err := v.RegisterValidation(tag, f); err != nil {
		panic("settings: " + err.Error())
	}
}

// check returns the errors of the settings, without file and line.
func check(s *Settings) Errors {
	errs := checkTags(s)
	add := func(field, reason string) {
		errs = append(errs, FieldError{Field: field, Reason: reason})
	}
	if s.Lease.RenewEvery*minRenewals > s.Lease.Duration {
		add("lease.renew_every", fmt.Sprintf("is %s, must be at most a third of lease.duration (%s)", s.Lease.RenewEvery, s.Lease.Duration))
	}
	if s.Detection.FailAfter <= s.Detection.ProbeEvery {
		add("detection.fail_after", fmt.Sprintf("is %s, must be more than detection.probe_every (%s)", s.Detection.FailAfter, s.Detection.ProbeEvery))
	}
	if s.Limits.Memory < minMemoryPerMessage*s.Limits.MaxMessage {
		add("limits.memory", fmt.Sprintf("is %s, must be at least %d times limits.max_message (%s)", s.Limits.Memory, minMemoryPerMessage, s.Limits.MaxMessage))
	}
	if s.Caller.Auth == AuthTrust && !isLoopback(s.Caller.Listen) {
		add("caller.auth", "trust is allowed only when caller.listen is a loopback address")
	}
	if s.Admin.TokensFile == "" && !isLoopback(s.Admin.Listen) {
		add("admin.tokens_file", "is required when admin.listen is not a loopback address")
	}
	return errs
}

// isLoopback reports whether the address is a loopback address. It returns
// true for a malformed address, for which the validator reports an error of
// its own.
func isLoopback(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err != nil || ap.Addr().IsLoopback()
}

func checkTags(s *Settings) Errors {
	err := rules().Struct(s)
	if err == nil {
		return nil
	}
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		panic("settings: " + err.Error())
	}
	var errs Errors
	for _, f := range invalid {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		errs = append(errs, FieldError{Field: field, Reason: describeViolation(f)})
	}
	return errs
}

// describeViolation describes the rule that a value violates.
func describeViolation(f validator.FieldError) string {
	value := fmt.Sprint(f.Value())
	switch f.Tag() {
	case "required":
		return "is required"
	case "required_with":
		return "is required with its counterpart: certificate and key belong together"
	case "required_if":
		return "is required when " + describeRequiredIf(f.Param())
	case "ipport":
		return fmt.Sprintf("%q is not an IP address with a port, such as 10.0.1.4:6432", value)
	case "name":
		return fmt.Sprintf("%q is not a name: letters, digits, '_', '.' and '-', at most 63", value)
	case "oneof":
		return fmt.Sprintf("%q is not one of %s", value, f.Param())
	case "unique":
		return "contains a duplicate value"
	case "gt":
		return fmt.Sprintf("is %s, must be more than %s", value, f.Param())
	case "min", "gte":
		return describeBound(f, "at least")
	case "max", "lte":
		return describeBound(f, "at most")
	}
	return fmt.Sprintf("%q violates the rule %s", value, f.Tag())
}

func describeBound(f validator.FieldError, relation string) string {
	if f.Kind() == reflect.Slice {
		return fmt.Sprintf("must hold %s %s values", relation, f.Param())
	}
	return fmt.Sprintf("is %v, must be %s %s", f.Value(), relation, f.Param())
}

// describeRequiredIf describes a parameter such as "Auth scram" with the key
// that the settings file uses.
func describeRequiredIf(param string) string {
	field, value, _ := strings.Cut(param, " ")
	return strings.ToLower(field) + " is " + value
}
