#ifndef TURMERICCTL_DAT_H
#define TURMERICCTL_DAT_H

/**
 * enum exit_code - exit codes of turmericctl
 * @EXIT_DONE: the command succeeded
 * @EXIT_REFUSED: the request was refused and changed nothing, or would be
 * @EXIT_USAGE: invalid command line or unreadable file
 * @EXIT_UNKNOWN: no usable answer, the outcome is unknown, or no log line was
 *                found
 * @EXIT_NOT_IN_FORCE: the edit is accepted but not yet in force everywhere
 */
enum exit_code {
    EXIT_DONE = 0,
    EXIT_REFUSED = 1,
    EXIT_USAGE = 2,
    EXIT_UNKNOWN = 3,
    EXIT_NOT_IN_FORCE = 4,
};

enum {
    ARGUMENTS_MAX = 512,
    URL_MAX_BYTES = 1024,
    AUTHORIZATION_MAX_BYTES = 512
};

/**
 * struct options - parsed command line
 * @address: IP:PORT of the operator API of an instance
 * @token_file: path of the file that contains the operators' token
 * @author: author recorded with an edit
 * @wait_s: seconds to wait for an edit to be in force everywhere, or 0
 * @after_revision: revision after which the history starts
 * @json: print JSON instead of tables
 * @prune: remove nodes that the applied file does not contain
 * @effective: show inherited values too
 * @arguments: the command, then its arguments
 * @argument_count: number of arguments, the command included
 * @authorization: value of the Authorization header
 */
struct options {
    const char *address;
    const char *token_file;
    const char *author;
    int64_t wait_s;
    int64_t after_revision;
    bool json;
    bool prune;
    bool effective;
    char *arguments[ARGUMENTS_MAX];
    int argument_count;
    char authorization[AUTHORIZATION_MAX_BYTES];
};

/**
 * struct response - HTTP response of an instance
 * @status: HTTP status; 0 when there was no response
 * @body: body, owned; NULL when there was no response
 * @outcome_unknown: the request may have taken effect without a confirmation
 */
struct response {
    long status;
    char *body;
    bool outcome_unknown;
};

enum { TABLE_COLUMNS_MAX = 7 };

/**
 * struct text_table - table printed with aligned columns
 * @columns: number of columns
 * @cells: texts of the cells, row by row, starting with the header
 */
struct text_table {
    int columns;
    GPtrArray *cells;
};

#endif
