/*
 * Holds retries of a request back that may have crashed the servers whose
 * connections broke under it: its second servers would crash like the first
 * ones, and whole shards be lost. What one server has answered goes on at once.
 */
#ifndef DISPATCH_HOLD_H
#define DISPATCH_HOLD_H

#include "dispatch.h"

/**
 * dispatch_hold_note_break() - the connection to a server broke under a send
 */
void dispatch_hold_note_break(struct dispatch_send *send);

/**
 * dispatch_hold_back() - whether a part is not to be sent again now
 *
 * Sets when it is to be asked again. Of the parts that are held back for long
 * one is let go at a time.
 */
bool dispatch_hold_back(struct dispatch_part *part);

/**
 * dispatch_hold_forbids_hedge() - whether a hedge could crash the last server
 * of a service
 *
 * Parts of sharded requests are hedged only once others were answered.
 */
bool dispatch_hold_forbids_hedge(const struct dispatch_part *part);

/**
 * dispatch_hold_end() - let all parts go that are held back
 */
void dispatch_hold_end(struct dispatch *dispatch);

/**
 * dispatch_hold_is_hopeless() - whether servers have crashed under parts that
 * are held back, and none has answered
 */
bool dispatch_hold_is_hopeless(const struct dispatch *dispatch);

#endif
