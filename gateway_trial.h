/*
 * Trials of suspects: a request during whose earlier runs servers crashed runs
 * on one server first, on one instance. As callers may send it to several
 * instances at once, each announces its trial and waits for the announcements
 * of the others; the one with the lowest ticket goes on.
 */
#ifndef GATEWAY_TRIAL_H
#define GATEWAY_TRIAL_H

#include <stdbool.h>
#include <stdint.h>

struct gateway_request;

/**
 * gateway_trial_begin() - make a new request a trial if it is a suspect
 * @request: not started yet
 */
void gateway_trial_begin(struct gateway_request *request);

/**
 * gateway_trial_must_wait() - whether the request waits for announcements of
 * other instances; its timer is set then
 */
bool gateway_trial_must_wait(const struct gateway_request *request);

/**
 * gateway_trial_is_waiting() - whether it waits for them, when its timer is due
 */
bool gateway_trial_is_waiting(const struct gateway_request *request);

/**
 * gateway_trial_is_own() - end the wait
 *
 * Return: whether the trial is this instance's.
 */
bool gateway_trial_is_own(struct gateway_request *request);

/**
 * gateway_trial_wait() - how long until a request that crashed servers may run
 * on one more, as a trial
 * @request: started
 * @service: set to the hash of the name of the service to try it on
 *
 * Announces the trial at the first call, so that other instances hold the
 * request back.
 *
 * Return: microseconds; 0 if it may now; below 0 if it may not: it is banned,
 * or no suspect any more, or its trial is another instance's.
 */
int64_t gateway_trial_wait(struct gateway_request *request, uint64_t *service);

/**
 * gateway_trial_refuse() - answer that the request is on trial elsewhere
 */
void gateway_trial_refuse(struct gateway_request *request);

#endif
