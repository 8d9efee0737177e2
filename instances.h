/* The platform's list of instances, taken over into the fleet. */
#ifndef INSTANCES_H
#define INSTANCES_H

#include "fleet.h"

/**
 * instances_apply() - make the fleet what the list says
 * @text: the value of the key "instances"; rows that are malformed are logged
 *        and left out
 *
 * Return: 0, or ERR_SYNTAX for a text that is no list, with the fleet
 * unchanged.
 */
int instances_apply(struct fleet *fleet, struct str text);

#endif
