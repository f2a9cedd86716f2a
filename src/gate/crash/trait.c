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
 * @depth: place of the part in the prompt, or WHOLE_REQUEST
 */
void
trait_list_add(struct trait_list *list, uint64_t key, int depth)
{
    if (list->count < TRAITS_MAX && !trait_list_contains(list, key)) {
        list->traits[list->count++] = (struct trait){key, depth};
    }
}
