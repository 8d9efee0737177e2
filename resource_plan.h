/*
 * Shares of the memory and the descriptors of a gateway process. Whatever
 * callers and servers do, each use stays within its share, and the shares leave
 * room for all else. Does no I/O.
 */
#ifndef RESOURCE_PLAN_H
#define RESOURCE_PLAN_H

#include <stddef.h>
#include <stdint.h>

/**
 * struct memory_plan - limits on memory, bytes
 * @requests: requests of callers that are read or processed
 * @answers_read: answers of servers that are being read
 * @answers_sent: answers that callers have not taken yet
 * @unread: bytes that callers sent ahead, of which the kernel holds most
 * @pages: requests to and answers of all pages
 * @peers: frames that other instances have not taken yet
 * @relayed: requests that other instances sent here for its servers
 */
struct memory_plan {
	size_t requests;
	size_t answers_read;
	size_t answers_sent;
	size_t unread;
	size_t pages;
	size_t peers;
	size_t relayed;
};

/**
 * memory_plan_init() - divide the memory
 * @memory_max: limit of the process, bytes
 */
void memory_plan_init(struct memory_plan *plan, size_t memory_max);

/**
 * struct descriptor_plan - limits on connections
 * @callers: of callers
 * @directory: to the address of the directory, which callers ask, too
 * @page: to each other address with pages
 * @strangers: from what may be other instances, before they tell their name
 *
 * The rest is for servers, other instances and the store.
 */
struct descriptor_plan {
	int callers;
	int directory;
	int page;
	int strangers;
};

/**
 * descriptor_plan_init() - divide the descriptors
 * @descriptors_max: limit of the process; 0: unlimited
 */
void descriptor_plan_init(struct descriptor_plan *plan,
			  int64_t descriptors_max);

#endif
