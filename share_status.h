/* The shares in the status that operators read. */
#ifndef SHARE_STATUS_H
#define SHARE_STATUS_H

struct evbuffer;
struct share;

/**
 * share_status_add() - append the shares as a JSON object
 * @out: appended to
 * @share: NULL appends "null"
 */
void share_status_add(struct evbuffer *out, struct share *share);

#endif
