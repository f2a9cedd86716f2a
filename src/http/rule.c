/**
 * DOC: Reading of JSON objects of other programs by tables of rules.
 *
 * JSON has one type of numbers: 2, 2.0 and 2e0 are the same one. A string of
 * digits is no number. What can't be used is reported with its place in the
 * document, and never replaced in silence. A null is a missing member.
 */
#include <glib.h>
#include <json-c/json.h>
#include <math.h>
#include <string.h>
#include <ulfius.h>

#include "base/dat.h"
#include "base/fns.h"
#include "http/dat.h"
#include "http/fns.h"

/**
 * json_read_number() - read a number
 * @member: the value
 * @number: set to it; integers are exact up to 2^53
 * @err: filled in on failure
 *
 * Return: false with ERR_BAD_JSON if it is none, or not a finite one.
 */
bool
json_read_number(struct json_object *member, double *number, struct err *err)
{
    if (!json_object_is_type(member, json_type_int) &&
        !json_object_is_type(member, json_type_double)) {
        return err_set(err, ERR_BAD_JSON, "not a number");
    }
    *number = json_object_get_double(member);
    return isfinite(*number) ||
           err_set(err, ERR_BAD_JSON, "not a finite number");
}

/* Reads a number within the rule's range, in the variable's unit. */
static bool
read_in_range(const struct json_rule *rule, struct json_object *member,
              double *number, struct err *err)
{
    if (!json_read_number(member, number, err)) {
        return false;
    }
    if (*number < rule->minimum || *number > rule->maximum) {
        return err_set(err, ERR_BAD_JSON, "%.17g is not within %.17g to %.17g",
                       *number, rule->minimum, rule->maximum);
    }
    if (rule->factor != 0.0) {
        *number *= rule->factor;
    }
    return true;
}

static bool
read_whole(const struct json_rule *rule, struct json_object *member,
           double *number, struct err *err)
{
    if (!read_in_range(rule, member, number, err)) {
        return false;
    }
    switch (rule->rounding) {
    case JSON_ROUND_DOWN:
        *number = floor(*number);
        return true;
    case JSON_ROUND_UP:
        *number = ceil(*number);
        return true;
    case JSON_ROUND_NONE:
        break;
    }
    return *number == floor(*number) ||
           err_set(err, ERR_BAD_JSON, "%.17g is not a whole number", *number);
}

static bool
read_integer(const struct json_rule *rule, struct json_object *member,
             void *variable, struct err *err)
{
    double number;

    if (!read_whole(rule, member, &number, err)) {
        return false;
    }
    /* A double has only 53 bits of an integer. */
    *(int64_t *)variable =
        json_object_is_type(member, json_type_int) && rule->factor == 1.0
            ? json_object_get_int64(member)
            : (int64_t)number;
    return true;
}

static bool
read_count(const struct json_rule *rule, struct json_object *member,
           void *variable, struct err *err)
{
    double number;

    if (!read_whole(rule, member, &number, err)) {
        return false;
    }
    *(int *)variable = (int)number;
    return true;
}

static bool
read_number(const struct json_rule *rule, struct json_object *member,
            void *variable, struct err *err)
{
    double number;

    if (!read_in_range(rule, member, &number, err)) {
        return false;
    }
    *(double *)variable = number;
    return true;
}

static bool
read_boolean(const struct json_rule *rule, struct json_object *member,
             void *variable, struct err *err)
{
    (void)rule;
    if (!json_object_is_type(member, json_type_boolean)) {
        return err_set(err, ERR_BAD_JSON, "neither true nor false");
    }
    *(bool *)variable = json_object_get_boolean(member);
    return true;
}

/* C would end a text with a NUL byte there. */
static bool
check_text(struct json_object *member, struct err *err)
{
    if (!json_object_is_type(member, json_type_string)) {
        return err_set(err, ERR_BAD_JSON, "not a text");
    }
    return (json_object_get_string_len(member) > 0 &&
            strlen(json_object_get_string(member)) ==
                (size_t)json_object_get_string_len(member)) ||
           err_set(err, ERR_BAD_JSON, "empty, or with a NUL byte");
}

static bool
read_text(const struct json_rule *rule, struct json_object *member,
          void *variable, struct err *err)
{
    const char *text = json_object_get_string(member);
    size_t bytes = (size_t)json_object_get_string_len(member);

    if (!check_text(member, err)) {
        return false;
    }
    if (bytes >= rule->bytes) {
        return err_set(err, ERR_BAD_JSON, "longer than %zu bytes",
                       rule->bytes - 1);
    }
    memcpy(variable, text, bytes + 1);
    return true;
}

static bool
read_string(const struct json_rule *rule, struct json_object *member,
            void *variable, struct err *err)
{
    char **string = variable;

    (void)rule;
    if (!check_text(member, err)) {
        return false;
    }
    g_free(*string);
    *string = g_strdup(json_object_get_string(member));
    return true;
}

static bool
read_address(const struct json_rule *rule, struct json_object *member,
             void *variable, struct err *err)
{
    if (!read_text(rule, member, variable, err)) {
        return false;
    }
    if (!socket_check_address(variable, err)) {
        err->kind = ERR_BAD_JSON;
        return false;
    }
    return true;
}

/* For variables of type int64_t, int, double, bool, char[] and char *, whose
 * text is owned, and for IP addresses with ports in a char[]. */
const struct json_rule_ops json_rule_integer = {read_integer};
const struct json_rule_ops json_rule_count = {read_count};
const struct json_rule_ops json_rule_number = {read_number};
const struct json_rule_ops json_rule_boolean = {read_boolean};
const struct json_rule_ops json_rule_text = {read_text};
const struct json_rule_ops json_rule_string = {read_string};
const struct json_rule_ops json_rule_address = {read_address};

static void
append_place(GString *text, const struct json_place *place)
{
    if (place == NULL) {
        return;
    }
    append_place(text, place->parent);
    if (place->key == NULL) {
        g_string_append_printf(text, "[%zu]", place->index);
        return;
    }
    g_string_append_printf(text, "%s%s", text->len > 0 ? "." : "", place->key);
}

static char *
format_place(const struct json_place *place, const char *key)
{
    const struct json_place member = {.parent = place, .key = key};
    GString *text = g_string_new(NULL);

    append_place(text, key != NULL ? &member : place);
    return g_string_free(text, FALSE);
}

/**
 * json_fault() - report a part of a document that can't be used
 * @faults: where it is reported; NULL for nowhere
 * @place: the object it stands in
 * @key: its name there; NULL for the object itself
 * @reason: why it can't be used; without the value of a secret
 */
void
json_fault(struct json_faults *faults, const struct json_place *place,
           const char *key, const char *reason)
{
    char *text;

    if (faults == NULL) {
        return;
    }
    if (faults->count < JSON_FAULTS_KEPT) {
        text = format_place(place, key);
        faults->texts[faults->count] = g_strdup_printf("%s: %s", text, reason);
        g_free(text);
    }
    faults->count++;
}

/**
 * json_faults_clear() - release reports
 * @faults: the reports; none afterwards
 */
void
json_faults_clear(struct json_faults *faults)
{
    for (int i = 0; i < MIN(faults->count, JSON_FAULTS_KEPT); i++) {
        g_free(faults->texts[i]);
    }
    g_free(faults->missing);
    memset(faults, 0, sizeof(*faults));
}

static void
note_missing(struct json_faults *faults, const struct json_place *place,
             const char *key)
{
    char *text;
    char *longer;

    if (faults == NULL || ++faults->missing_count > JSON_MISSING_KEPT) {
        return;
    }
    text = format_place(place, key);
    longer = faults->missing != NULL
                 ? g_strdup_printf("%s %s", faults->missing, text)
                 : g_strdup(text);
    g_free(faults->missing);
    faults->missing = longer;
    g_free(text);
}

/* Returns false when the object can't be used without the member. */
static bool
read_missing(const struct json_rule *rule, const struct json_place *place,
             struct json_faults *faults)
{
    if (rule->need == JSON_REQUIRED) {
        json_fault(faults, place, rule->key, "missing");
        return false;
    }
    if (rule->need == JSON_NOTED) {
        note_missing(faults, place, rule->key);
    }
    return true;
}

static bool
read_member(struct json_object *object, const struct json_place *place,
            const struct json_rule *rule, void *out,
            struct json_faults *faults)
{
    struct json_object *member = json_get_member(object, rule->key);
    struct err err = {0};

    if (member == NULL) {
        return read_missing(rule, place, faults);
    }
    if (rule->ops->read(rule, member, (char *)out + rule->offset, &err)) {
        return true;
    }
    json_fault(faults, place, rule->key, err.text);
    return rule->need < JSON_DECISIVE;
}

/**
 * json_rules_read() - read an object by a table of rules
 * @object: the object; NULL for a missing one; members without a rule are
 *          ignored
 * @place: where it stands, for the reports
 * @rules: the table
 * @count: number of @rules
 * @out: struct that is filled in; what is missing or can't be used keeps its
 *       value
 * @faults: where each member is reported that can't be used; may be NULL
 *
 * Return: whether the object can be used, by the rules' needs.
 */
bool
json_rules_read(struct json_object *object, const struct json_place *place,
                const struct json_rule *rules, size_t count, void *out,
                struct json_faults *faults)
{
    bool usable = true;

    if (object != NULL && !json_object_is_type(object, json_type_object)) {
        json_fault(faults, place, NULL, "not an object");
        return false;
    }
    for (size_t i = 0; i < count; i++) {
        usable = read_member(object, place, &rules[i], out, faults) && usable;
    }
    return usable;
}
