#ifndef OPERATOR_DAT_H
#define OPERATOR_DAT_H

struct desk_port;

/**
 * struct desk_port_ops - what the operators' HTTP needs from the rest
 * @tree: the tree in force, pinned; NULL when there is none
 * @state: age of the configuration
 * @edit: makes an edit; blocks on the key-value service
 * @history: JSON array of entries after a revision, freed by the caller
 * @members: all members with the revision that each last reported
 * @status: JSON object with what this instance does, freed by the caller
 */
struct desk_port_ops {
    struct tree *(*tree)(struct desk_port *port);
    void (*state)(struct desk_port *port, struct config_state *state);
    bool (*edit)(struct desk_port *port, const struct edit *edit,
                 int64_t *revision, struct err *err);
    char *(*history)(struct desk_port *port, int64_t after, int limit,
                     struct err *err);
    int (*members)(struct desk_port *port, struct member_info *infos, int max);
    char *(*status)(struct desk_port *port);
};

struct desk_port {
    const struct desk_port_ops *ops;
};

/**
 * struct desk_settings - where to listen and the operators' token
 * @address: IP:PORT; port 0 lets the kernel choose
 * @token_file: file with the token, readable by its owner only
 * @name: name of this instance in the status
 */
struct desk_settings {
    char address[ADDRESS_MAX_BYTES];
    char token_file[PATH_MAX_BYTES];
    char name[NAME_MAX_BYTES];
};

/**
 * struct desk - duty that serves operators over HTTP
 */
struct desk;

#endif
