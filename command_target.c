#include "command_target.h"

error_t command_target_parse(struct command_target *target, int key,
			     const char *arg, struct argp_state *state)
{
	switch (key) {
	case 'j':
		target->json = true;
		return 0;
	case ARGP_KEY_ARG:
		if (target->has_address ||
		    address_parse(str_from(arg), &target->address))
			argp_usage(state);
		target->has_address = true;
		return 0;
	case ARGP_KEY_END:
		if (!target->has_address)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}
