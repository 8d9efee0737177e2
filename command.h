/* The subcommands. Each returns a process exit status. */
#ifndef COMMAND_H
#define COMMAND_H

#include <stddef.h>

enum exit_status {
	EXIT_STATUS_OK = 0,
	EXIT_STATUS_FAILED = 1,	      /* refused, incomplete or unreachable */
	EXIT_STATUS_USAGE = 2,	      /* invalid command line */
	EXIT_STATUS_INVALID = 3,      /* a file is invalid */
	EXIT_STATUS_INSUFFICIENT = 4, /* coverage below the minimum */
	EXIT_STATUS_NO_TRACE = 5,     /* no instance knows the request */
	EXIT_STATUS_EVICTED = 6,      /* record evicted by later ones */
	EXIT_STATUS_PARTIAL = 7,      /* some instances did not answer */
};

int command_serve(int argc, char **argv);
int command_gateway(int argc, char **argv);
int command_check(int argc, char **argv);
int command_query(int argc, char **argv);
int command_status(int argc, char **argv);
int command_explain(int argc, char **argv);
int command_report(int argc, char **argv);
int command_losses(int argc, char **argv);

/**
 * command_read_file() - read a whole file
 * @path: the file
 * @data: set on success; owned by the caller
 * @len: set on success, bytes
 *
 * Prints the reason to standard error on failure.
 *
 * Return: 0, or ERR_IO.
 */
int command_read_file(const char *path, char **data, size_t *len);

#endif
