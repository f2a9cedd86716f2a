/* HTTP client over a plain socket, for tests. */
#ifndef TEST_CLIENT_H
#define TEST_CLIENT_H

static inline int
test_connect(int port, const char *text)
{
    struct sockaddr_in address = {.sin_family = AF_INET};
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons((uint16_t)port);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    g_assert_cmpint(send(fd, text, strlen(text), MSG_NOSIGNAL), ==,
                    (ssize_t)strlen(text));
    return fd;
}

static inline char *
test_read_all(int fd)
{
    GString *text = g_string_new(NULL);
    char buffer[4096];
    ssize_t count;

    while ((count = read(fd, buffer, sizeof(buffer))) > 0) {
        g_string_append_len(text, buffer, count);
    }
    close(fd);
    return g_string_free(text, FALSE);
}

static inline char *
test_request(const char *head, const char *body)
{
    if (strstr(head, "Content-Length") != NULL ||
        strstr(head, "Transfer-Encoding") != NULL) {
        return g_strdup_printf("%s\r\nHost: t\r\nConnection: close\r\n\r\n%s",
                               head, body);
    }
    return g_strdup_printf("%s\r\nHost: t\r\nConnection: close\r\n"
                           "Content-Length: %zu\r\n\r\n%s",
                           head, strlen(body), body);
}

#endif
