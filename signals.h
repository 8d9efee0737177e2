/* Signals of a process that stops gracefully. */
#ifndef SIGNALS_H
#define SIGNALS_H

/**
 * signals_block() - block the signals that stop or reload a process
 *
 * Once the event loop and its handlers have ended, a further one would kill the
 * process before it has passed its last answers on.
 */
void signals_block(void);

#endif
