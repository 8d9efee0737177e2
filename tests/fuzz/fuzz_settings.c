/* Fuzzes the parser of settings files. */
#include "fuzz.h"

#include "settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct settings settings;
	struct error err;

	if (settings_init(&settings, (const char *)data, size, &err))
		return 0;
	if (!settings.instance || !settings.n_platform)
		__builtin_trap();
	settings_finish(&settings);
	return 0;
}
