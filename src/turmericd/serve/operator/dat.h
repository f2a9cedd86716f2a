#ifndef OPERATOR_DAT_H
#define OPERATOR_DAT_H

struct operator_api_port;

/**
 * struct operator_api_port_ops - what the operators' HTTP needs from the rest
 * @tree_ref: the tree in force, pinned; NULL when there is none
 * @get_config_state: age of the configuration
 * @apply_edit: makes an edit; blocks on the key-value service
 * @list_history: JSON array of entries after a revision, freed by the caller
 * @list_members: all members with the revision that each last reported
 * @get_status: JSON object with what this instance does, freed by the caller
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
 * struct operator_api_settings - where to listen and the operators' token
 * @address: IP:PORT; port 0 lets the kernel choose
 * @token_file: file with the token, readable by its owner only
 * @name: name of this instance in the status
 */
struct operator_api_settings {
    char address[ADDRESS_MAX_BYTES];
    char token_file[PATH_MAX_BYTES];
    char name[NAME_MAX_BYTES];
};

/**
 * struct desk - duty that serves operators over HTTP
 */
struct operator_api;

#endif
