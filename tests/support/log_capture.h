/** @file Captures the log lines of a test program, for tests of what is logged. */
#ifndef OW_TESTS_LOG_CAPTURE_H
#define OW_TESTS_LOG_CAPTURE_H

/** Captures all lines from now on in place of printing them; called once, before the first line. */
void log_capture_start(void);
/** Forgets the lines so far. */
void log_capture_clear(void);
/** The lines since the last clear, each as its level ("info", "warning"), a blank and its text. */
const char *log_capture_lines(void);
/** How often a phrase occurs in them. */
unsigned log_capture_count(const char *phrase);

#endif
