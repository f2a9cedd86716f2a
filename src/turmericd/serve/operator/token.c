/**
 * DOC: The operators' token.
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

static const char scheme[] = "Bearer ";

static bool
check_file(int fd, const char *path, struct err *err)
{
    struct stat status;

    if (fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) {
        return err_set(err, ERR_SETTINGS, "token file %s is no file", path);
    }
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
        return err_set(err, ERR_SETTINGS,
                       "token file %s is open to others, mode %03o; set it "
                       "to 600",
                       path, (unsigned)status.st_mode & 0777);
    }
    return true;
}

/* Takes the blanks at the end of the file off. */
static bool
check_token(char *token, const char *path, struct err *err)
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
            return err_set(err, ERR_SETTINGS,
                           "token file %s: use printable characters without "
                           "blanks",
                           path);
        }
    }
    return true;
}

/**
 * token_read() - read the operators' token
 * @path: the file
 * @token: filled in
 * @err: filled in on failure
 *
 * Return: false with ERR_SETTINGS when the file is missing, empty, too long
 * or readable by others than its owner.
 */
bool
token_read(const char *path, char token[TOKEN_MAX_BYTES], struct err *err)
{
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    ssize_t bytes;
    bool done;

    if (fd < 0) {
        return err_set(err, ERR_SETTINGS, "token file %s: %s", path,
                       strerror(errno));
    }
    done = check_file(fd, path, err);
    bytes = done ? read(fd, token, TOKEN_MAX_BYTES) : 0;
    close(fd);
    if (!done) {
        return false;
    }
    if (bytes < 0 || bytes == TOKEN_MAX_BYTES) {
        return err_set(err, ERR_SETTINGS, "token file %s: use 1..%d bytes",
                       path, TOKEN_MAX_BYTES - 1);
    }
    token[bytes] = '\0';
    return check_token(token, path, err);
}

/**
 * token_matches() - whether a request may pass
 * @token: the operators' token
 * @authorization: header field of the request; NULL when missing
 *
 * The time taken doesn't depend on where the texts differ, so it doesn't help
 * to guess the token.
 */
bool
token_matches(const char *token, const char *authorization)
{
    size_t token_bytes = strlen(token);
    const char *given;
    unsigned difference = 0;

    if (authorization == NULL ||
        strncasecmp(authorization, scheme, sizeof(scheme) - 1) != 0) {
        return false;
    }
    given = authorization + sizeof(scheme) - 1;
    if (strlen(given) != token_bytes) {
        return false;
    }
    for (size_t i = 0; i < token_bytes; i++) {
        difference |= (unsigned char)(token[i] ^ given[i]);
    }
    return difference == 0;
}
