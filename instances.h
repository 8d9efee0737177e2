/* Applies the platform's list of instances to the fleet. */
#ifndef INSTANCES_H
#define INSTANCES_H

#include "fleet.h"

/**
 * instances_apply() - make the fleet match the list
 * @fleet: updated
 * @text: JSON value of the key "instances"; malformed rows are logged and
 *	skipped
 *
 * Members that the list doesn't have are removed and freed.
 *
 * Return: 0, or ERR_SYNTAX if @text isn't a JSON array; the fleet is then
 * unchanged.
 */
int instances_apply(struct fleet *fleet, struct str text);

#endif
