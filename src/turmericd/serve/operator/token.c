/**
 * DOC: Reads and checks the operators' bearer token.
 */
#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <strings.h>
#include <sys/stat.h>
#include <ulfius.h>
#include <unistd.h>

#include "base/dat.h"
#include "base/fns.h"
#include "kv/dat.h"
#include "proto/peer.pb-c.h"
#include "tree/dat.h"
#include "turmericd/state/config/dat.h"
#include "turmericd/fleet/member/dat.h"
#include "turmericd/serve/operator/dat.h"
#include "turmericd/serve/operator/internal.h"

static const char auth_scheme[] = "Bearer ";

static bool
check_token_file(int fd, const char *path, struct err *err)
{
    struct stat file_status;

    if (fstat(fd, &file_status) != 0 || !S_ISREG(file_status.st_mode)) {
        return err_set(err, ERR_SETTINGS,
                       "token file %s is not a regular file", path);
    }
    if ((file_status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return err_set(
            err, ERR_SETTINGS,
            "token file %s is accessible to others, mode %03o; set it "
            "to 600",
            path, (unsigned)file_status.st_mode & 0777);
    }
    return true;
}

/* Strips trailing white space; accepts only printable ASCII otherwise. */
static bool
trim_and_check_token(char *token, const char *path, struct err *err)
{
    size_t bytes = strlen(token);

    while (bytes > 0 && strchr(" \t\r\n", token[bytes - 1]) != NULL) {
        token[--bytes] = '\0';
    }
    if (bytes == 0) {
        return err_set(err, ERR_SETTINGS, "token file %s is empty", path);
    }
    for (size_t i = 0; i < bytes; i++) {
        if (token[i] <= ' ' || token[i] > '~') {
            return err_set(
                err, ERR_SETTINGS,
                "token file %s: the token must consist of printable "
                "characters without spaces",
                path);
        }
    }
    return true;
}

/**
 * operator_token_read() - read the operators' token from its file
 * @path: token file
 * @token: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS when the file is missing, empty, too long
 * or accessible to anyone but its owner.
 */
bool
operator_token_read(const char *path, char token[OPERATOR_TOKEN_MAX_BYTES],
                    struct err *err)
{
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    ssize_t bytes;
    bool valid;

    if (fd < 0) {
        return err_set(err, ERR_SETTINGS, "token file %s: %s", path,
                       strerror(errno));
    }
    valid = check_token_file(fd, path, err);
    bytes = valid ? read(fd, token, OPERATOR_TOKEN_MAX_BYTES) : 0;
    close(fd);
    if (!valid) {
        return false;
    }
    if (bytes < 0 || bytes == OPERATOR_TOKEN_MAX_BYTES) {
        return err_set(err, ERR_SETTINGS,
                       "token file %s must be 1 to %d bytes long", path,
                       OPERATOR_TOKEN_MAX_BYTES - 1);
    }
    token[bytes] = '\0';
    return trim_and_check_token(token, path, err);
}

/**
 * operator_token_matches() - check a request's bearer token
 * @token: the operators' token
 * @authorization: Authorization header of the request; NULL when missing
 *
 * The time taken doesn't depend on where the tokens differ, so that it can't
 * be used to guess the token byte by byte.
 */
bool
operator_token_matches(const char *token, const char *authorization)
{
    size_t token_bytes = strlen(token);
    const char *presented;
    unsigned difference = 0;

    if (authorization == NULL || strncasecmp(authorization, auth_scheme,
                                             sizeof(auth_scheme) - 1) != 0) {
        return false;
    }
    presented = authorization + sizeof(auth_scheme) - 1;
    if (strlen(presented) != token_bytes) {
        return false;
    }
    for (size_t i = 0; i < token_bytes; i++) {
        difference |= (unsigned char)(token[i] ^ presented[i]);
    }
    return difference == 0;
}
