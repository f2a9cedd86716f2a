/**
 * DOC: What a request has in common with other requests.
 */

#include "base/dat.h"
#include "gate/crash/dat.h"
#include "gate/crash/fns.h"

/**
 * trait_list_contains() - whether a request has a trait
 * @list: traits of the request
 * @key: key of the trait
 */
bool
trait_list_contains(const struct trait_list *list, uint64_t key)
{
    for (int i = 0; i < list->count; i++) {
        if (list->traits[i].key == key) {
            return true;
        }
    }
    return false;
}

/**
 * trait_list_add() - add a trait to those of a request
 * @list: traits of the request; a full list stays as it is
 * @key: key of the trait
 * @depth: place of the part in the prompt, WHOLE_REQUEST or OWN_PART
 */
void
trait_list_add(struct trait_list *list, uint64_t key, int depth)
{
    if (list->count < TRAITS_MAX && !trait_list_contains(list, key)) {
        list->traits[list->count++] = (struct trait){key, depth};
    }
}

/* Whether fewer requests are likely to have a trait. */
static bool
is_more_specific(const struct trait *a, const struct trait *b)
{
    if ((a->depth < 0) != (b->depth < 0)) {
        return a->depth < 0;
    }
    if (a->depth != b->depth) {
        return a->depth > b->depth;
    }
    return a->key < b->key;
}

/**
 * trait_set_add() - add a trait to a set
 * @set: the set, in its order; when it is full, the least specific trait is
 * left out
 * @trait: the trait
 */
void
trait_set_add(struct trait_set *set, const struct trait *trait)
{
    struct trait added = *trait;

    if (trait_set_contains(set, trait->key)) {
        return;
    }
    for (int i = 0; i < set->count; i++) {
        if (is_more_specific(&added, &set->traits[i])) {
            struct trait moved = set->traits[i];

            set->traits[i] = added;
            added = moved;
        }
    }
    if (set->count < TRAIT_SET_MAX) {
        set->traits[set->count++] = added;
    }
}

/**
 * trait_set_remove() - remove a trait from a set
 * @set: the set
 * @key: key of the trait
 *
 * Return: whether it was there.
 */
bool
trait_set_remove(struct trait_set *set, uint64_t key)
{
    int kept = 0;
    int before = set->count;

    for (int i = 0; i < before; i++) {
        if (set->traits[i].key != key) {
            set->traits[kept++] = set->traits[i];
        }
    }
    set->count = kept;
    return kept < before;
}

/**
 * trait_set_contains() - whether a set has a trait
 * @set: the set
 * @key: key of the trait
 */
bool
trait_set_contains(const struct trait_set *set, uint64_t key)
{
    for (int i = 0; i < set->count; i++) {
        if (set->traits[i].key == key) {
            return true;
        }
    }
    return false;
}

/**
 * trait_set_includes() - whether a set has all traits of another one
 * @set: the set
 * @other: the other one
 */
bool
trait_set_includes(const struct trait_set *set, const struct trait_set *other)
{
    for (int i = 0; i < other->count; i++) {
        if (!trait_set_contains(set, other->traits[i].key)) {
            return false;
        }
    }
    return true;
}

/**
 * traits_include() - whether a request has all traits of a set
 * @traits: traits of the request
 * @count: number of @traits
 * @set: the set
 */
bool
traits_include(const struct trait *traits, int count,
               const struct trait_set *set)
{
    for (int i = 0; i < set->count; i++) {
        bool found = false;

        for (int j = 0; j < count && !found; j++) {
            found = traits[j].key == set->traits[i].key;
        }
        if (!found) {
            return false;
        }
    }
    return true;
}
