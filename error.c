#include "error.h"

#include <stdio.h>

#define ERROR_ENTRY(symbol, number, name, text) {number, name, text},
static const struct {
	int code;
	const char *name;
	const char *text;
} errors[] = {ERROR_LIST(ERROR_ENTRY)};
#undef ERROR_ENTRY

#define N_ERRORS (int)(sizeof(errors) / sizeof(errors[0]))

const char *error_name(int code)
{
	if (code > 0 || -code >= N_ERRORS)
		return "unknown_code";
	return errors[-code].name;
}

const char *error_text(int code)
{
	if (code > 0 || -code >= N_ERRORS)
		return "an error code unknown to this version";
	return errors[-code].text;
}

int error_set(struct error *err, enum error_code code, const char *subject,
	      const char *value, const char *expected)
{
	if (!err)
		return code;
	err->code = code;
	err->line = 0;
	err->expected = expected;
	snprintf(err->subject, sizeof(err->subject), "%s", subject);
	snprintf(err->value, sizeof(err->value), "%s", value ? value : "");
	return code;
}
