/// A logger that writes to standard output one structured line for each
/// decision about a request and for each change of what the process knows. It
/// never blocks: lines that the output cannot take at once or that exceed the
/// rate limit are dropped and counted. Safe from any thread.
#ifndef JT_RUNTIME_LOG_H
#define JT_RUNTIME_LOG_H

/// Sets the program name that each line has.
void log_open(const char *program);

/// Writes one line: time, program, event, and key=value pairs.
///
/// @param event   short name of the decision or change
/// @param format  printf format of the pairs
void log_event(const char *event, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

#endif
