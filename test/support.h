/* Helpers that tests of several duties share. */
#ifndef TEST_SUPPORT_H
#define TEST_SUPPORT_H

void test_duty_start(struct duty *duty, pthread_t *thread);
void test_duty_stop(struct duty *duty, pthread_t thread);
char *test_write_file(const char *directory, const char *name,
                      const char *text, int mode);

#endif
