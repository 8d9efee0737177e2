#include "signals.h"

#include <signal.h>

void signals_block(void)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	sigprocmask(SIG_BLOCK, &signals, NULL);
}
