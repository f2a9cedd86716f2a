#ifndef OPERATOR_DAT_H
#define OPERATOR_DAT_H

struct operator_api_port;

/**
 * struct operator_api_port_ops - what the operator API needs from the instance
 * @tree_ref: returns a reference to the tree in force, released by the
 *            operator API with tree_unref(); NULL when there is none
 * @get_config_state: reads the revision and age of the configuration
 * @apply_edit: applies an edit; blocks on the key-value store
 * @list_history: returns a JSON array of entries after a revision, freed by
 *                the operator API
 * @list_members: lists all members with the revision that each last reported
 * @get_status: returns a JSON object with figures of this instance, freed by
 *              the operator API; may be NULL
 */
struct operator_api_port_ops {
    struct tree *(*tree_ref)(struct operator_api_port *port);
    void (*get_config_state)(struct operator_api_port *port,
                             struct config_state *state);
    bool (*apply_edit)(struct operator_api_port *port, const struct edit *edit,
                       int64_t *revision, struct err *err);
    char *(*list_history)(struct operator_api_port *port, int64_t after,
                          int limit, struct err *err);
    int (*list_members)(struct operator_api_port *port,
                        struct member_info *infos, int max);
    char *(*get_status)(struct operator_api_port *port);
};

struct operator_api_port {
    const struct operator_api_port_ops *ops;
};

/**
 * struct operator_api_settings - listen address and token file
 * @address: IP:PORT; port 0 lets the kernel choose
 * @token_file: file with the operators' token, accessible to its owner only
 * @name: name of this instance in the status
 */
struct operator_api_settings {
    char address[ADDRESS_MAX_BYTES];
    char token_file[PATH_MAX_BYTES];
    char name[NAME_MAX_BYTES];
};

/**
 * struct operator_api - duty that serves operators over HTTP
 */
struct operator_api;

#endif
