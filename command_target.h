/*
 * Arguments of the subcommands that query an instance: its address, and whether
 * to print the answer as JSON.
 */
#ifndef COMMAND_TARGET_H
#define COMMAND_TARGET_H

#include <argp.h>
#include <stdbool.h>

#include "address.h"

/**
 * struct command_target - the parsed arguments
 * @address: of the instance
 * @has_address: @address is set
 * @json: print the answer as JSON
 */
struct command_target {
	struct address address;
	bool has_address;
	bool json;
};

/**
 * command_target_parse() - parse the option 'j' or the argument IP:PORT
 * @target: filled
 * @key: as passed by argp, including ARGP_KEY_END
 * @arg: as passed by argp
 * @state: as passed by argp
 *
 * Prints the usage and exits if the address is malformed, missing or given
 * twice.
 *
 * Return: 0; ARGP_ERR_UNKNOWN for other keys.
 */
error_t command_target_parse(struct command_target *target, int key,
			     const char *arg, struct argp_state *state);

#endif
