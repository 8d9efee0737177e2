/*
 * A request body that several sends write, so that there is one copy of it for
 * all shards, second sends and relays. It outlives the request, as abandoned
 * sends may still be writing it.
 */
#ifndef SHARED_BODY_H
#define SHARED_BODY_H

#include "http_message.h"
#include "str.h"

struct evbuffer;
struct shared_body;

/**
 * shared_body_take() - take the body out of a message, without a copy
 * @message: its body is empty afterwards
 * @memory: counts the body until it is freed; outlives it
 *
 * Return: the body with one reference.
 */
struct shared_body *shared_body_take(struct http_message *message,
				     struct http_memory *memory);

/**
 * shared_body_copy() - copy a body
 * @memory: as of shared_body_take()
 *
 * Return: the copy with one reference.
 */
struct shared_body *shared_body_copy(struct str body,
				     struct http_memory *memory);

/**
 * shared_body_unref() - drop a reference; the last one frees the body
 * @body: may be NULL
 */
void shared_body_unref(struct shared_body *body);

/**
 * shared_body_str() - the bytes, valid as long as a reference is held
 */
struct str shared_body_str(const struct shared_body *body);

/**
 * shared_body_write() - append the body to a buffer without a copy
 *
 * The buffer holds a reference until the bytes are written.
 */
void shared_body_write(struct shared_body *body, struct evbuffer *out);

#endif
